package faultinject

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestParse(t *testing.T) {
	got, err := Parse("accept:ENFILE:1:2000ms-4000ms; read:EINTR:0.01;connect:EADDRNOTAVAIL:3x; write:short:0.05:2s- ; wait:EINTR:1s-2s;")
	want := Plan{
		{Call: Accept, Errno: unix.ENFILE, Share: 1, From: 2 * time.Second, Until: 4 * time.Second},
		{Call: Read, Errno: unix.EINTR, Share: 0.01},
		{Call: Connect, Errno: unix.EADDRNOTAVAIL, Share: 1, Count: 3},
		{Call: Write, Share: 0.05, From: 2 * time.Second},
		{Call: Wait, Errno: unix.EINTR, Share: 1, From: time.Second, Until: 2 * time.Second},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("Parse returned %+v, %v, want %+v", got, err, want)
	}
	for text, part := range map[string]string{
		"read":                       `"read"`,
		"read:EINTR;close:EIO":       `unknown call "close"`,
		"read:EFOO":                  `unknown error "EFOO"`,
		"accept:short":               "accept cannot be short",
		"read:EINTR:2":               `"2" is not a share`,
		"read:EINTR:NaN":             `"NaN" is not a share`,
		"read:EINTR:0x":              `"0x" is not a number`,
		"read:EINTR:1:soon-2s":       `begin of time span "soon-2s"`,
		"read:EINTR:1:2s-late":       `end of time span "2s-late"`,
		"read:EINTR:1:2s-1s":         `"2s-1s" ends before`,
		"read:EINTR:1s-2s:0.1":       `"0.1" follows`,
		"read:EINTR:0.1:2s":          `"2s" is not a time span`,
		"read:EINTR:0.1:1s-2s:again": "want call:error",
	} {
		if _, err := Parse(text); !errors.Is(err, ErrPlan) || !strings.Contains(err.Error(), part) {
			t.Errorf("Parse(%q): %v, want ErrPlan with %s", text, err, part)
		}
	}
}

// Calls fail as often, as long and with the error that the plan says, and are counted.
func TestFails(t *testing.T) {
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fds[0])
	defer unix.Close(fds[1])
	plan, err := Parse("write:EPIPE:2x:1s-2s; write:short:0.5:3s-; read:EINTR:0.25; socket:ENFILE; connect:EPERM; accept:EMFILE")
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	s := New(plan, 7, func() time.Duration { return now })
	write := func() string {
		n, err := s.WriteTwo(fds[0], []byte("ab"), []byte("cd"))
		switch {
		case err != nil:
			return unix.ErrnoName(err.(unix.Errno))
		case n < 4:
			return "short"
		}
		return "whole"
	}
	for _, at := range []struct {
		now  time.Duration
		want string
	}{{0, "whole"}, {time.Second, "EPIPE"}, {time.Second, "EPIPE"}, {time.Second, "whole"}, {2 * time.Second, "whole"}} {
		if now = at.now; write() != at.want {
			t.Errorf("at %v: result of a write is not %s", now, at.want)
		}
	}
	now = 3 * time.Second
	got := map[string]int{}
	var b [8]byte
	for range 400 {
		got[write()]++
		if _, err := s.Read(fds[1], b[:]); err == unix.EINTR {
			got["EINTR"]++
		}
	}
	if got["short"] < 150 || got["short"] > 250 || got["EINTR"] < 70 || got["EINTR"] > 130 || got["whole"]+got["short"] != 400 {
		t.Errorf("results of 400 writes and 400 reads: %v, want about 200 short writes, no failed ones and about 100 reads with EINTR", got)
	}
	if made, failed := s.Counts(Write); made != 405 || failed != got["short"]+2 {
		t.Errorf("%d writes counted, %d of them failed or short, want 405 and %d", made, failed, got["short"]+2)
	}
	_, socketErr := s.Socket(unix.AF_INET)
	_, acceptErr := s.Accept(-1)
	if err := s.Connect(-1, nil); socketErr != unix.ENFILE || acceptErr != unix.EMFILE || err != unix.EPERM {
		t.Errorf("socket %v, accept %v, connect %v; want ENFILE, EMFILE and EPERM", socketErr, acceptErr, err)
	}
}

// A wait is interrupted only when no event is ready.
func TestWaitInterrupted(t *testing.T) {
	plan, _ := Parse("wait:EINTR")
	s := New(plan, 0, StartClock())
	epoll, err := unix.EpollCreate1(0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(epoll)
	event, err := unix.Eventfd(0, unix.EFD_NONBLOCK)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(event)
	unix.EpollCtl(epoll, unix.EPOLL_CTL_ADD, event, &unix.EpollEvent{Events: unix.EPOLLIN})
	events := make([]unix.EpollEvent, 1)
	if n, err := s.Wait(epoll, events, -1); n != 0 || err != unix.EINTR {
		t.Errorf("wait without a ready event: %d, %v, want 0, EINTR", n, err)
	}
	unix.Write(event, []byte{1, 0, 0, 0, 0, 0, 0, 0})
	if n, err := s.Wait(epoll, events, -1); n != 1 || err != nil {
		t.Errorf("wait with a ready event: %d, %v, want 1, nil", n, err)
	}
}
