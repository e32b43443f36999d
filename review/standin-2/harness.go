// Command drill2 plays the cases of the second review: it starts the project's programs as
// processes, stands in for origins, list services and clients on loopback, and judges what
// these saw. Each case is one subcommand; its run.sh says how it is called.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// drill is one play of a case.
type drill struct {
	trouble bool
	dir     string // temporary folder
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
	ending bool // no further process is started
	broken []string
}

// longest is how long a play may take: it is ended then, as one that could not run.
const longest = 112 * time.Second

// process is a program of the project that the drill has started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// unable is the panic of a case that could not run.
type unable struct{ why string }

func (d *drill) giveUp(format string, args ...any) { panic(unable{fmt.Sprintf(format, args...)}) }

// note writes a line to the record, with the ms since the start.
func (d *drill) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%9.1f %s\n", d.now(), fmt.Sprintf(format, args...))
}

// now returns the ms since the start.
func (d *drill) now() float64 { return float64(time.Since(d.start).Microseconds()) / 1000 }

// breach notes that the rule was broken.
func (d *drill) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	d.note("BROKEN %s", text)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken = append(d.broken, text)
}

// run starts a program from bin/.
func (d *drill) run(name string, args ...string) *process {
	output, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", name, len(d.procs))))
	if err != nil {
		d.giveUp("%v", err)
	}
	p := &process{name: name + " " + strings.Join(args, " "), cmd: exec.Command("bin/"+name, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.mu.Lock()
	if d.ending {
		err = fmt.Errorf("the play is ending")
	} else if err = p.cmd.Start(); err == nil {
		d.procs = append(d.procs, p)
		go func() {
			p.cmd.Wait()
			close(p.done)
		}()
	}
	d.mu.Unlock()
	output.Close()
	if err != nil {
		d.giveUp("start %s: %v", p.name, err)
	}
	d.note("started %s as process %d", name, p.cmd.Process.Pid)
	return p
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// runsStill reports whether the program has not ended by itself.
func (p *process) runsStill() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// end kills all processes and removes the temporary folder.
func (d *drill) end() {
	d.mu.Lock()
	d.ending = true
	procs := d.procs
	d.mu.Unlock()
	for _, p := range procs {
		if p.runsStill() {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			<-p.done
		}
	}
	os.RemoveAll(d.dir)
}

// file writes a file into the temporary folder and returns its path.
func (d *drill) file(name, text string) string {
	path := filepath.Join(d.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.giveUp("%v", err)
	}
	return path
}

// freeAddress returns a loopback address that is free now.
func (d *drill) freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.giveUp("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// await waits until an address takes connections.
func (d *drill) await(address string) {
	for range 200 {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			conn.Close()
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	d.giveUp("nothing listens at %s", address)
}

// cache starts a spool-cache and returns it with its address.
func (d *drill) cache(name, upstream, more string) (*process, string) {
	address := d.freeAddress()
	text := fmt.Sprintf("(cache %s (listen %q) (folder %q) (mb 64) (segment-mb 8)", name, address, filepath.Join(d.dir, name))
	if upstream != "" {
		text += fmt.Sprintf(" (upstream %q)", upstream)
	}
	p := d.run("spool-cache", "serve", "-c", d.file(name+".edn", text+" "+more+")\n"))
	d.await(address)
	return p, address
}

// router starts a spool-router by the text of its settings, in which LISTEN and ADMIN stand for
// its addresses, and returns these.
func (d *drill) router(text string) (listen, admin string) {
	listen, admin = d.freeAddress(), d.freeAddress()
	text = strings.NewReplacer("LISTEN", listen, "ADMIN", admin).Replace(text)
	d.run("spool-router", "serve", "-c", d.file("router.edn", text))
	d.await(listen)
	time.Sleep(300 * time.Millisecond) // for its list of members
	return listen, admin
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a *answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, %d bytes %.24q, Cache-Status %q, Spool-Copy %q", a.status, len(a.body), a.body, a.header.Get("Cache-Status"), a.header.Get("Spool-Copy"))
}

// ask sends a request on a connection of its own and notes both. fields are names and values.
func (d *drill) ask(address, method, path string, body []byte, fields ...string) *answer {
	d.note("client sends %s %s to %s", method, path, address)
	a := request(address, method, path, body, fields...)
	d.note("client gets for %s %s: %v", method, path, a)
	return a
}

func request(address, method, path string, body []byte, fields ...string) *answer {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return &answer{err: err}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(12 * time.Second))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: photos.example\r\nConnection: close\r\n", method, path)
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", fields[i], fields[i+1])
	}
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return &answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return &answer{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return &answer{response.StatusCode, response.Header, content, err}
}

// serveOrigin answers requests at a new address with what handle returns: a whole response.
func (d *drill) serveOrigin(handle func(r *http.Request, body []byte) []byte) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.giveUp("%v", err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, err := io.ReadAll(r.Body)
					if err != nil {
						return
					}
					if _, err := conn.Write(handle(r, body)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// response is a whole HTTP response, written at once.
func response(r *http.Request, status int, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i+1 < len(fields); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", fields[i], fields[i+1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	if r.Method != "HEAD" {
		b.Write(body)
	}
	return b.Bytes()
}

// photos is an origin of versioned objects: an object's version is 1 until it is purged.
type photos struct {
	d     *drill
	bytes int
	delay time.Duration     // until it reads an object for its answer
	asked func(path string) // called when a request for an object has come
	gave  func(path string) // called when an answer was made
	mu    sync.Mutex
	made  map[string]int // version, where it is above 1
}

func (o *photos) version(path string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return max(o.made[path], 1)
}

// renew gives an object its next version.
func (o *photos) renew(path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.made == nil {
		o.made = map[string]int{}
	}
	o.made[path] = max(o.made[path], 1) + 1
}

// content is an object's bytes in a version.
func (o *photos) content(path string, version int) []byte {
	line := fmt.Sprintf("version %d of %s\n", version, path)
	return []byte(strings.Repeat(line, o.bytes/len(line)+1))[:o.bytes]
}

// versionOf returns the version whose bytes these are, or 0.
func (o *photos) versionOf(path string, body []byte) int {
	for version := 1; version <= o.version(path); version++ {
		if bytes.Equal(body, o.content(path, version)) {
			return version
		}
	}
	return 0
}

func (o *photos) handle(r *http.Request, _ []byte) []byte {
	path := r.URL.EscapedPath()
	o.d.note("origin is asked %s %s", r.Method, path)
	if o.asked != nil {
		_, by, _ := strings.Cut(r.Header.Get("Spool-Fill"), "via=\"")
		by, _, _ = strings.Cut(by, "\"")
		o.asked(by)
	}
	time.Sleep(o.delay)
	version := o.version(path)
	o.d.note("origin gives out version %d of %s", version, path)
	out := response(r, 200, o.content(path, version), "Content-Type", "text/plain", "ETag", fmt.Sprintf(`"%d"`, version),
		"Spool-Copy", fmt.Sprintf("v=%d, age=0", version))
	if o.gave != nil {
		o.gave(path)
	}
	return out
}

// listService tells a router's list of members, and purges.
type listService struct {
	address string
	mu      sync.Mutex
	first   string
	streams []chan string
}

func (d *drill) serveList(members string) *listService {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.giveUp("%v", err)
	}
	l := &listService{address: listener.Addr().String(), first: fmt.Sprintf(`{"rev":1,"how":"full","members":[%s]}`, members)}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stream := make(chan string, 100)
		l.mu.Lock()
		l.streams = append(l.streams, stream)
		l.mu.Unlock()
		fmt.Fprintln(w, l.first)
		w.(http.Flusher).Flush()
		for {
			select {
			case line := <-stream:
				fmt.Fprintln(w, line)
			case <-time.After(time.Second):
				fmt.Fprintln(w)
			case <-r.Context().Done():
				return
			}
			w.(http.Flusher).Flush()
		}
	}))
	return l
}

func (l *listService) tell(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stream := range l.streams {
		stream <- line
	}
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: drill2 CASE RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	record, err := os.Create(os.Args[2])
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "drill2: no such case, or no record:", err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "drill2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	d := &drill{trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: record}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	os.Exit(d.play(play, stop))
}

// play runs a case and returns the exit code. The processes are children of this thread.
func (d *drill) play(play func(*drill), stop <-chan os.Signal) (code int) {
	defer d.end()
	defer func() {
		switch r := recover().(type) {
		case nil:
		case unable:
			d.note("cannot run: %s", r.why)
			fmt.Println("cannot run:", r.why)
			code = 2
		default:
			panic(r)
		}
	}()
	go func() {
		select {
		case s := <-stop:
			d.note("ended by a signal: %v", s)
		case <-time.After(longest):
			d.note("ended: the play takes too long")
		}
		d.end()
		os.Exit(2)
	}()
	play(d)
	for _, p := range d.procs {
		if !p.runsStill() {
			d.giveUp("%s has ended", p.name)
		}
	}
	if len(d.broken) == 0 {
		d.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	fmt.Printf("the rule was broken %d times; first: %s\n", len(d.broken), d.broken[0])
	return 1
}
