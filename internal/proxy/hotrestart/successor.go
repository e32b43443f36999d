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

// ErrNoPredecessor means that no process listens at the path, so that the router starts without
// learned state.
var ErrNoPredecessor = errors.New("hot restart: no predecessor to take over from")

// Inherited is the successor's side: what it has received, and its connection to the
// predecessor. The caller owns the descriptors, and sets each that it uses to 0 so that Abort
// does not close it.
type Inherited struct {
	Listener      int    // descriptor of the listening socket; 0: none
	Admin         int    // descriptor of the admin listener; 0: none
	LearnedState  []byte // by package learnedstate
	Clients       []byte // what is known of clients, as JSON
	ConfigVersion []byte // the configuration version in use; nil: that of the file

	conn    *net.UnixConn
	writeMu sync.Mutex // guards writes after Ready, so that the messages of a version stay together
}

// TakeOver receives the handover of the process that listens at a path. It returns
// ErrNoPredecessor if there is none. The predecessor serves until Ready, and continues to do so
// after Abort or an error.
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

// readHandover requests the handover and reads it.
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
			return fmt.Errorf("hot restart: read the handover: %w", err)
		}
		switch kind {
		case messageRefuse:
			return fmt.Errorf("hot restart: the predecessor rejected the handover: %.200q", payload)
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
			return fmt.Errorf("hot restart: the predecessor sent an unexpected message of kind %v: %.40q", kind, payload)
		}
		if len(learnedState)+len(clients)+len(configVersion) > maxTotalBytes {
			return fmt.Errorf("hot restart: the predecessor sent more than %d MB", maxTotalBytes>>20)
		}
	}
}

// takeSockets stores the descriptors by their names, and closes those with an unknown name.
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

// Ready tells the predecessor that this process serves. From then on onConn is called with each
// connection that the predecessor passes on, onNote with each note, and onEnd when the
// predecessor has closed the connection, all on one new goroutine.
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
// process uses now. The predecessor needs it to know which endpoints are draining, because it
// follows no control plane while it drains itself.
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

// SendNote sends the predecessor, after Ready, a value as JSON. Notes contain what only this
// process has received, such as a purge.
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

// Abort ends the handover before Ready: the predecessor continues to serve.
func (in *Inherited) Abort() {
	for _, fd := range []int{in.Listener, in.Admin} {
		if fd > 0 {
			unix.Close(fd)
		}
	}
	in.Listener, in.Admin = 0, 0
	in.conn.Close()
}
