package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// ErrNoPredecessor says that no process listens at the path: the router starts without learned state.
var ErrNoPredecessor = errors.New("hot restart: no predecessor to take over from")

// Inherited is the successor's end: what it was given, and its connection to the
// predecessor. The descriptors are the caller's, who sets one that it has taken to 0.
type Inherited struct {
	Listener      int    // descriptor of the listening socket; 0: none
	Admin         int    // descriptor of the admin listener; 0: none
	LearnedState  []byte // by package learnedstate
	Clients       []byte // what is known of clients, as JSON
	ConfigVersion []byte // the configuration version in force; nil: that of the file

	conn    *net.UnixConn
	writeMu sync.Mutex // of what is sent after Ready: the messages of a version stay together
}

// TakeOver takes over from the process that listens at a path; ErrNoPredecessor where none
// does. Until Ready the predecessor goes on serving, and after Abort or an error too.
func TakeOver(path string) (*Inherited, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: path, Net: "unixpacket"})
	if errors.Is(err, unix.ENOENT) || errors.Is(err, unix.ECONNREFUSED) {
		return nil, ErrNoPredecessor
	}
	if err != nil {
		return nil, fmt.Errorf("hot restart: connect to %s: %w", path, err)
	}
	in := &Inherited{conn: conn}
	if err := in.readHandover(); err != nil {
		in.Abort()
		return nil, err
	}
	return in, nil
}

// readHandover asks for the handover, and reads it.
func (in *Inherited) readHandover() error {
	if err := checkSameUser(in.conn); err != nil {
		return err
	}
	in.conn.SetDeadline(time.Now().Add(messageTimeout))
	if _, err := in.conn.Write(message(messageHello, []byte{Version})); err != nil {
		return fmt.Errorf("hot restart: send hello: %w", err)
	}
	var learnedState, clients, configVersion []byte
	for {
		in.conn.SetDeadline(time.Now().Add(messageTimeout))
		kind, payload, descriptors, err := receive(in.conn)
		if err != nil {
			return fmt.Errorf("hot restart: the predecessor broke off: %w", err)
		}
		switch kind {
		case messageRefuse:
			return fmt.Errorf("hot restart: the predecessor refuses: %.200q", payload)
		case messageSockets:
			in.takeSockets(payload, descriptors)
		case messageLearnedState:
			learnedState = append(learnedState, payload...)
		case messageClients:
			clients = append(clients, payload...)
		case messageConfigVersion:
			configVersion = append(configVersion, payload...)
		case messageComplete:
			in.LearnedState, in.Clients, in.ConfigVersion = learnedState, clients, configVersion
			in.conn.SetDeadline(time.Time{})
			return nil
		default:
			return fmt.Errorf("hot restart: the predecessor sent a message of %v: %.40q", kind, payload)
		}
		if len(learnedState)+len(clients)+len(configVersion) > maxTotalBytes {
			return fmt.Errorf("hot restart: the predecessor sent more than %d MB", maxTotalBytes>>20)
		}
	}
}

// takeSockets takes the descriptors by their names; those of an unknown name are closed.
func (in *Inherited) takeSockets(names []byte, descriptors []int) {
	for i, name := range names {
		if i >= len(descriptors) {
			return
		}
		switch name {
		case socketListener:
			in.Listener = descriptors[i]
		case socketAdmin:
			in.Admin = descriptors[i]
		default:
			unix.Close(descriptors[i])
		}
	}
}

// Ready tells the predecessor that this process serves. From then on, on a goroutine of its
// own, onConn is called for each connection that is passed on, onNote for each note, and
// onEnd once the predecessor has ended.
func (in *Inherited) Ready(onConn func(fd int), onNote func(json []byte), onEnd func()) error {
	if _, err := in.conn.Write(message(messageReady, nil)); err != nil {
		return fmt.Errorf("hot restart: tell the predecessor that this process serves: %w", err)
	}
	go func() {
		defer onEnd()
		defer in.conn.Close()
		for {
			kind, payload, descriptors, err := receive(in.conn)
			if err != nil {
				return
			}
			switch kind {
			case messageConnections:
				for _, fd := range descriptors {
					onConn(fd)
				}
			case messageNote:
				onNote(payload)
			}
		}
	}()
	return nil
}

// SendConfigVersion sends the predecessor, after Ready, the configuration version that this
// process goes by now: while it drains, the predecessor follows no control plane, and has to
// know which endpoints drain.
func (in *Inherited) SendConfigVersion(version []byte) error {
	in.writeMu.Lock()
	defer in.writeMu.Unlock()
	in.conn.SetWriteDeadline(time.Now().Add(messageTimeout))
	if err := writeParts(in.conn, messageConfigVersion, version); err != nil {
		return fmt.Errorf("hot restart: send a configuration version: %w", err)
	}
	if _, err := in.conn.Write(message(messageComplete, nil)); err != nil {
		return fmt.Errorf("hot restart: send a configuration version: %w", err)
	}
	return nil
}

// SendNote sends the predecessor, after Ready, a value as JSON: what came to this process
// only, such as a purge.
func (in *Inherited) SendNote(note any) error {
	payload, err := json.Marshal(note)
	if err != nil {
		return fmt.Errorf("hot restart: encode a note: %w", err)
	}
	in.writeMu.Lock()
	defer in.writeMu.Unlock()
	in.conn.SetWriteDeadline(time.Now().Add(messageTimeout))
	if _, err := in.conn.Write(message(messageNote, payload)); err != nil {
		return fmt.Errorf("hot restart: send a note: %w", err)
	}
	return nil
}

// Abort gives up taking over: the predecessor goes on serving.
func (in *Inherited) Abort() {
	for _, fd := range []int{in.Listener, in.Admin} {
		if fd > 0 {
			unix.Close(fd)
		}
	}
	in.Listener, in.Admin = 0, 0
	in.conn.Close()
}
