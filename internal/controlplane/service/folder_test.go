package service

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// A folder's content that could not be kept is offered once it can.
func TestFolderDuringStoreFault(t *testing.T) {
	dir := t.TempDir()
	set := filepath.Join(dir, "set")
	os.Mkdir(set, 0o755)
	files := &faultyFiles{}
	s := startServiceOn(t, files, filepath.Join(dir, "svc.db"), 20, nil)
	s.settings.Service.Folder = set
	if err := os.WriteFile(filepath.Join(set, "a.edn"), settingsText(3, ""), 0o644); err != nil {
		t.Fatal(err)
	}
	files.setFault(syscall.ENOSPC)
	if _, err := s.PushUnchecked(settingsText(4, ""), true); err == nil {
		t.Fatal("acknowledged")
	}
	if again := s.offerFolder(); again >= folderPollInterval {
		t.Errorf("looked at again after %v", again)
	}
	files.setFault(nil)
	eventually(t, "the service", func() bool { return s.View().StateFault == "" })
	s.offerFolder()
	if v := s.View(); v.Last != 2 {
		t.Errorf("the folder's content was not offered: %+v", v)
	}
}

// What changes in a folder is offered once, also over a restart: a halted
// content does not come back by itself.
func TestFolderIsOfferedOnce(t *testing.T) {
	dir := t.TempDir()
	set := filepath.Join(dir, "set")
	os.Mkdir(set, 0o755)
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(set, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	one := string(settingsText(3, ""))
	cut := strings.Index(one, "(member")
	write("10-classes.edn", one[:cut])
	write("20-members.edn", one[cut:])
	write("notes.txt", "(not settings")
	core, logs := observer.New(zapcore.InfoLevel)
	s, err := startService(dir, fmt.Sprintf("(folder %q)", set), zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the folder's first version", func() bool { return s.View().Base == 1 })
	write("20-members.edn", one[cut:]+"(member oops (zone nowhere) (address \"127.0.0.1:1\"))")
	eventually(t, "the fault with its file", func() bool {
		return len(logs.Filter(func(e observer.LoggedEntry) bool {
			return strings.Contains(e.Message, "20-members.edn:4:") && strings.Contains(e.Message, `"nowhere" is no zone`)
		}).All()) == 1
	})
	write("20-members.edn", one[cut:]+"(member more (zone z) (address \"127.0.0.1:1\"))")
	eventually(t, "the second", func() bool { return s.View().Last == 2 })
	s.Halt("by the test") // nobody is there to tell: it is in its first stage
	eventually(t, "the old content as a third", func() bool { v := s.View(); return v.Base == 3 && v.Next == 0 })
	s.Close()
	if s, err = startService(dir, fmt.Sprintf("(folder %q)", set), zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	time.Sleep(2 * folderSettleTime)
	if v := s.View(); v.Last != 3 {
		t.Errorf("a halted content came back by itself: %+v", v)
	}
	write("30-more.edn", "(limits (held 777))")
	eventually(t, "the next change", func() bool { return s.View().Last == 4 })
}
