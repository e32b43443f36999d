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

// A folder's content that can't be offered during a store fault is offered afterwards.
func TestFolderDuringStoreFault(t *testing.T) {
	dir := t.TempDir()
	folder := filepath.Join(dir, "set")
	os.Mkdir(folder, 0o755)
	files := &faultyFiles{}
	service := startServiceOn(t, files, filepath.Join(dir, "svc.db"), 20, nil)
	service.settings.Service.Folder = folder
	if err := os.WriteFile(filepath.Join(folder, "a.edn"), settingsText(3, ""), 0o644); err != nil {
		t.Fatal(err)
	}
	files.setFault(syscall.ENOSPC)
	if _, err := service.PushUnchecked(settingsText(4, ""), true); err == nil {
		t.Fatal("a push was acknowledged that was not persisted")
	}
	if delay := service.offerFolder(); delay >= folderPollInterval {
		t.Errorf("the folder is read again only after %v, want less than %v", delay, folderPollInterval)
	}
	files.setFault(nil)
	waitFor(t, "the service's recovery", func() bool { return service.View().StateFault == "" })
	service.offerFolder()
	if v := service.View(); v.Last != 2 {
		t.Errorf("status after the fault: %+v, want Last 2: the folder's content", v)
	}
}

// A folder's content is offered once, also across a restart: content whose rollout was
// halted is not offered again.
func TestFolderIsOfferedOnce(t *testing.T) {
	dir := t.TempDir()
	folder := filepath.Join(dir, "set")
	os.Mkdir(folder, 0o755)
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text := string(settingsText(3, ""))
	firstMember := strings.Index(text, "(member")
	write("10-classes.edn", text[:firstMember])
	write("20-members.edn", text[firstMember:])
	write("notes.txt", "(not settings")
	core, logs := observer.New(zapcore.InfoLevel)
	service, err := startService(dir, fmt.Sprintf("(folder %q)", folder), zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the folder's first version", func() bool { return service.View().Base == 1 })
	write("20-members.edn", text[firstMember:]+"(member oops (zone nowhere) (address \"127.0.0.1:1\"))")
	waitFor(t, "the fault with its file name", func() bool {
		return len(logs.Filter(func(e observer.LoggedEntry) bool {
			return strings.Contains(e.Message, "20-members.edn:4:") && strings.Contains(e.Message, `"nowhere" is no zone`)
		}).All()) == 1
	})
	write("20-members.edn", text[firstMember:]+"(member more (zone z) (address \"127.0.0.1:1\"))")
	waitFor(t, "the folder's second version", func() bool { return service.View().Last == 2 })
	service.Halt("by the test") // without routers, the rollout stays in its first stage
	waitFor(t, "the content of version 1 as version 3", func() bool { v := service.View(); return v.Base == 3 && v.Next == 0 })
	service.Close()
	if service, err = startService(dir, fmt.Sprintf("(folder %q)", folder), zap.NewNop()); err != nil {
		t.Fatal(err)
	}
	defer service.Close()
	time.Sleep(2 * folderSettleTime)
	if v := service.View(); v.Last != 3 {
		t.Errorf("status after the restart: %+v, want Last 3: the halted content is not offered again", v)
	}
	write("30-more.edn", "(limits (held 777))")
	waitFor(t, "the next change of the folder", func() bool { return service.View().Last == 4 })
}
