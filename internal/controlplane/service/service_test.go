package service

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
)

const childEnv = "CONTROL_TEST_CHILD" // folder of a service that is to be killed

func TestMain(m *testing.M) {
	if dir := os.Getenv(childEnv); dir != "" {
		if err := childService(dir); err != nil {
			fmt.Println("error", err)
		}
		return
	}
	os.Exit(m.Run())
}

// childService pushes versions as fast as it can and says which it has pushed.
func childService(dir string) error {
	s, err := startService(dir, "", zap.NewNop())
	if err != nil {
		return err
	}
	for n := 0; ; n++ {
		number, _, err := s.PushSources([]config.Source{{File: "x", Text: string(settingsText(1, fmt.Sprintf("(limits (held %d))", 1+rand.IntN(1e6))))}}, n%3 == 0)
		if err != nil {
			return err
		}
		v, _, err := s.store.Version(number)
		if err != nil {
			return err
		}
		fmt.Println(number, v.Sum)
	}
}

func startService(dir, extra string, log *zap.Logger) (*Service, error) {
	var s Settings
	if err := config.Read("svc", fmt.Sprintf(`(service (listen "127.0.0.1:0") (admin "127.0.0.1:0") (store %q) (keep 5) %s)
		(rollout (hold 50))`, filepath.Join(dir, "svc.db"), extra), &s); err != nil {
		return nil, err
	}
	return Start(&s, log, nil)
}

// Killed at any moment, a service goes on with what it had said: no number is
// given to two contents, none goes back, and it is known as the same service.
func TestServiceKilled(t *testing.T) {
	dir := t.TempDir()
	rng := rand.New(rand.NewPCG(1, 2))
	sums := map[int64]string{}
	var last int64
	name := ""
	for range 12 {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), childEnv+"="+dir)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		sc := bufio.NewScanner(out)
		read := func() bool {
			if !sc.Scan() {
				return false
			}
			var n int64
			var sum string
			if _, err := fmt.Sscan(sc.Text(), &n, &sum); err != nil || len(sum) != 64 {
				if !strings.HasPrefix(sc.Text(), "error") {
					return false // cut by the kill
				}
				t.Fatal(sc.Text())
			}
			if was, ok := sums[n]; ok && was != sum {
				t.Fatalf("number %d was given to two contents", n)
			}
			if n <= last {
				t.Fatalf("number %d was given after %d", n, last)
			}
			sums[n], last = sum, n
			return true
		}
		for range 1 + rng.IntN(15) {
			read()
		}
		time.Sleep(time.Duration(rng.IntN(4000)) * time.Microsecond)
		cmd.Process.Kill()
		for read() {
		}
		cmd.Wait()
		s, err := startService(dir, "", zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		v := s.View()
		s.Close()
		if v.Last < last || name != "" && v.Service != name {
			t.Fatalf("after a kill: last number %d, %d was said; service %s, %s before", v.Last, last, v.Service, name)
		}
		last, name = v.Last, v.Service
	}
	if len(sums) < 30 {
		t.Errorf("only %d versions were pushed", len(sums))
	}
}

func adminRequest(t *testing.T, s *Service, method, path, text string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+s.AdminAddr()+path, strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, b
}

// What operators ask for, and what they are told where it can't be.
func TestAdminRequests(t *testing.T) {
	dir := t.TempDir()
	s, err := startService(dir, "(max-bytes 100000)", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r := startRouter(t, false, "r", 1, nil, s.Addr())
	push := func(path, text string, want int) (p PushResult) {
		t.Helper()
		code, b := adminRequest(t, s, "POST", path, text)
		if err := json.Unmarshal(b, &p); err != nil || code != want {
			t.Fatalf("%s: %d %s", path, code, b)
		}
		return p
	}
	eventually(t, "the stream", func() bool { return len(s.View().Routers) == 1 })
	if p := push("/push?now&name=a.edn", string(settingsText(3, "")), 200); p.Number != 1 || !p.Created {
		t.Errorf("%+v", p)
	}
	if p := push("/push", "; the same again\n"+string(settingsText(3, "")), 200); p.Number != 1 || p.Created {
		t.Errorf("the same content: %+v", p)
	}
	p := push("/push?name=b.edn", string(settingsText(3, "(zone y (routers 1))\n(limits (held 0))")), 422)
	if len(p.Reasons) != 1 || !strings.Contains(p.Reasons[0], "b.edn:3:") {
		t.Errorf("a fault: %+v", p)
	}
	if p = push("/push", string(settingsText(3, "(zone y (routers 1))")), 422); len(p.Reasons) != 1 || !strings.Contains(p.Reasons[0], "zone/y") {
		t.Errorf("no sense: %+v", p)
	}
	push("/push", strings.Repeat(" ", 100001), 413)
	if p = push("/push?now", string(settingsText(4, "")), 200); p.Number != 2 {
		t.Errorf("%+v", p)
	}
	if p = push("/push?now&unchecked", "(oops", 200); p.Number != 3 {
		t.Errorf("%+v", p)
	}
	eventually(t, "the refusal", func() bool { r := s.View().Routers[0]; return r.Rejected == 3 && r.Running == 2 })
	if p = push("/rollback?to=1&now", "", 200); p.Number != 4 {
		t.Errorf("%+v", p)
	}
	eventually(t, "the old content", allRunning([]*testRouter{r}, 4))
	push("/rollback?to=99", "", 404)
	push("/rollback", "", 400)
	if code, b := adminRequest(t, s, "GET", "/version?number=4", ""); code != 200 || !bytes.Equal(b, canonical(t, 3, "")) {
		t.Errorf("version 4: %d %s", code, b)
	}
	var list []VersionView
	if code, b := adminRequest(t, s, "GET", "/versions", ""); code != 200 || json.Unmarshal(b, &list) != nil || len(list) != 4 {
		t.Errorf("versions: %d %s", code, b)
	}
	for i := range 9 {
		push("/push", string(settingsText(3, fmt.Sprintf("(limits (held %d))", 100+i))), 200)
	}
	if list, err := s.store.History(time.Now()); err != nil || len(list) > 6 || list[0].Version.Number != 4 && s.View().Base == 4 {
		t.Errorf("%d versions are kept, the first of them %d: %v", len(list), list[0].Version.Number, err)
	}
	push("/halt", "", 200)
	if v := s.View(); v.Next != 0 || v.Halted == "" && v.Last == 13 && v.Base != 13 {
		t.Errorf("after a halt: %+v", v)
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

// A damaged store is set aside and told of; numbers go on above what routers
// have accepted.
func TestDamagedServiceStore(t *testing.T) {
	dir := t.TempDir()
	s, err := startService(dir, "", zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	var last int64
	for i := range 6 {
		last, _ = s.PushUnchecked(settingsText(3, fmt.Sprintf("(limits (held %d))", 10+i)), true)
	}
	store, err := configstore.Open(filepath.Join(dir, "router.db"))
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	r := startRouter(t, false, "r", 1, store, s.Addr())
	eventually(t, "the last version", allRunning([]*testRouter{r}, last))
	r.Close()
	s.Close()
	path := filepath.Join(dir, "svc.db")
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range b {
		if i > 100 {
			b[i] ^= 0x55
		}
	}
	os.WriteFile(path, b, 0o600)
	core, logs := observer.New(zapcore.ErrorLevel)
	if s, err = startService(dir, "", zap.New(core)); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if logs.FilterMessageSnippet("was damaged").Len() != 1 {
		t.Errorf("told: %+v", logs.All())
	}
	r = startRouter(t, false, "r", 2, store, s.Addr())
	eventually(t, "the lead of the router", func() bool { return s.View().Last == last })
	n, err := s.PushUnchecked(settingsText(4, ""), true)
	if err != nil || n != last+1 {
		t.Fatal(n, err)
	}
	eventually(t, "the next number", allRunning([]*testRouter{r}, last+1))
}

// Settings of a service that can't be right are told of with their place.
func TestInvalidServiceSettings(t *testing.T) {
	for text, want := range map[string]string{
		`(service (store x) (listen "10.0.0.1:9900"))`:              "is not a loopback address, and there is no certificate",
		`(service (store x) (admin "0.0.0.0:9901"))`:                "the listener for operators has no password",
		`(service (store x) (cert a))`:                              "cert, key and authorities are not all given",
		`(service (store x)) (rollout (stages 0 0.5))`:              "is not 1",
		`(service (store x)) (rollout (stages 0.5 0.2 1))`:          "does not rise",
		`(service (listen "127.0.0.1:1"))`:                          "service/store: not given",
		`(service (store x)) (rollout (stages 0 2))`:                "it must be from 0 to 1",
		`(service (store x)) (checks (parent-churn 0))`:             "it must be from 0.01 to 1",
		`(service (store x) (per-second 0)) (rollout (patience 0))`: "must be",
	} {
		var s Settings
		if err := config.Read("svc", text, &s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
	if _, err := ReadFolder(t.TempDir()); err == nil || !strings.Contains(err.Error(), "holds no file *.edn") {
		t.Errorf("an empty folder: %v", err)
	}
	var refused *RejectedError
	s := NewServer(ServerConfig{Name: "x"})
	defer s.Stop()
	_, _, err := s.PushSources([]config.Source{{File: "f", Text: "(router)"}}, false)
	if !errors.As(err, &refused) || s.Status().State.LastNumber != 0 {
		t.Errorf("%v, %+v", err, s.Status().State)
	}
}

// A service as a program runs it, with certificates.
func TestServiceWithCertificates(t *testing.T) {
	dir := t.TempDir()
	a := newAuthority(t, "good")
	k := a.certificateFiles(dir, "svc", "control", time.Hour)
	s, err := startService(dir, fmt.Sprintf("(cert %q) (key %q) (authorities %q)", k.Cert, k.Key, k.Authorities), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, _, err := s.PushSources([]config.Source{{File: "x", Text: string(settingsText(3, ""))}}, true); err != nil {
		t.Fatal(err)
	}
	plain := startRouter(t, false, "plain", 1, nil, s.Addr())
	r := startRouterWith(t, AgentConfig{Router: "r", Services: []string{s.Addr()},
		DialOptions: []grpc.DialOption{grpc.WithTransportCredentials(a.certificateFiles(dir, "r", "r", time.Hour).ClientCredentials("control"))}})
	eventually(t, "the version over TLS", allRunning([]*testRouter{r}, 1))
	if n, _ := plain.Running(); n != 0 {
		t.Error("a router without a certificate got a version")
	}
	if _, err := startService(t.TempDir(), `(cert "none.pem") (key "none.key") (authorities "none.ca")`, zap.NewNop()); err == nil ||
		!strings.Contains(err.Error(), "none.pem") {
		t.Errorf("files that are not there: %v", err)
	}
}
