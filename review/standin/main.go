// Command standin plays one case of the review: it starts the router by the command of the deploy
// file, plays the clients, the caches and the platform around it, writes what passed to a record,
// and judges it by one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// env is what a case needs.
type env struct {
	rec          *record
	root, folder string
	trouble      bool
	mu           sync.Mutex // guards routers
	routers      []*router
	broken       bool
}

func (e *env) startRouter(name string, config map[string]any) (*router, error) {
	return startRouter(e.rec, e.root, e.folder, name, config, func(r *router) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.routers = append(e.routers, r)
	})
}

// breach records a broken rule.
func (e *env) breach(format string, args ...any) {
	e.broken = true
	e.rec.say("BROKEN: "+format, args...)
}

// judgeAnswers checks that each request that was not given up got exactly one final answer, at the
// latest half a second after its time, and that no answer brought other data.
func (e *env) judgeAnswers(all []*ask, extra int, crashed bool) error {
	const slack = 558 * time.Millisecond // 50 ms, the settings' answer_slack, and half a second
	words := map[string]int{}
	lost, twice, wrong := 0, 0, 0
	for _, a := range all {
		if a.sentAt.IsZero() {
			continue
		}
		switch {
		case !a.forgotten.IsZero():
			words["forgotten"]++
			if a.answers > 1 {
				twice++
			}
			continue
		case a.answers == 0 && a.connEnded != "":
			lost++
			e.rec.logf("lost: %s number %d on %s: the router ended the connection: %s", a.id, a.seq, a.conn, a.connEnded)
		case a.answers == 0:
			lost++
			e.rec.logf("lost: %s number %d on %s was never answered", a.id, a.seq, a.conn)
		case a.answeredAt.Sub(a.sentAt) > time.Duration(a.wait)*time.Millisecond+slack:
			lost++
			e.rec.logf("lost: %s number %d on %s was answered after %v", a.id, a.seq, a.conn, a.answeredAt.Sub(a.sentAt))
		}
		if a.answers > 1 {
			twice++
			e.rec.logf("%s number %d on %s has %d answers", a.id, a.seq, a.conn, a.answers)
		}
		if a.wrongBody {
			wrong++
			e.rec.logf("%s number %d on %s was served other bytes", a.id, a.seq, a.conn)
		}
		words[a.word]++
	}
	e.rec.say("requests: %d; %v; lost %d, answered twice %d, answered though never sent %d, wrong bytes %d", len(all), words, lost, twice, extra, wrong)
	if crashed {
		e.breach("the router has ended by itself")
	}
	if lost > 0 {
		e.breach("%d requests were lost", lost)
	}
	if twice+extra > 0 {
		e.breach("%d requests have two answers, %d answers belong to no request", twice, extra)
	}
	if wrong > 0 {
		e.breach("%d requests were served other bytes", wrong)
	}
	return nil
}

func main() {
	e := &env{trouble: os.Getenv("TROUBLE") != "0"}
	recordName := flag.String("record", "record.txt", "file for the record")
	flag.StringVar(&e.root, "root", ".", "root of the project")
	flag.Parse()
	cases := map[string]func(*env) error{"withdraw": withdraw, "purge": purge}
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "standin: no such case")
		os.Exit(2)
	}
	os.Exit(e.run(play, *recordName))
}

func (e *env) run(play func(*env) error, recordName string) int {
	var err error
	if e.folder, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(e.folder)
	if e.rec, err = newRecord(recordName); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer e.rec.close()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, r := range e.routers {
			r.kill()
		}
	}()
	played := make(chan error, 1)
	go func() { played <- play(e) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case err = <-played:
	case got := <-stopped: // the routers are ended in this case too
		err = fmt.Errorf("stopped by a signal: %v", got)
	}
	if err != nil {
		e.rec.say("cannot run: %v", err)
		return 2
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, r := range e.routers {
			text, _ := os.ReadFile(r.log.Name())
			os.WriteFile(keep, text, 0o644)
		}
	}
	if e.broken {
		return 1
	}
	e.rec.say("held")
	return 0
}
