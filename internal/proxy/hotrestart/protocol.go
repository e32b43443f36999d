package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Version is the version of the protocol, which predecessor and successor must share.
const Version = 2

// messageKind is the first byte of a message. The socket keeps message boundaries
// (SOCK_SEQPACKET).
type messageKind byte

const (
	messageHello         messageKind = 'h' // successor: protocol version
	messageRefuse        messageKind = 'x' // predecessor: the reason
	messageSockets       messageKind = 's' // predecessor: listening sockets, and a byte for each (socketListener, socketAdmin)
	messageLearnedState  messageKind = 'm' // predecessor: part of the learned state
	messageClients       messageKind = 'p' // predecessor: part of what is known of clients
	messageConfigVersion messageKind = 'v' // both: part of a configuration version
	messageComplete      messageKind = 'w' // predecessor: end of the handover; successor, after ready: end of a configuration version
	messageReady         messageKind = 'r' // successor: it serves
	messageNote          messageKind = 'n' // both: a note, as JSON
	messageConnections   messageKind = 'c' // predecessor: connections between requests
)

// Uses of the descriptors in messageSockets.
const (
	socketListener = 'l'
	socketAdmin    = 'a'
)

const (
	maxPartBytes   = 48 << 10         // payload of a message, which must fit the socket's buffer
	maxDescriptors = 64               // per message; the kernel allows 253
	maxTotalBytes  = 256 << 20        // of a handover or configuration version; bounds memory against a faulty peer
	sendQueueLen   = 8192             // descriptors and notes
	messageTimeout = 10 * time.Second // for each message of the handover, and each sent after it
)

// String returns the name of the kind for errors.
func (k messageKind) String() string {
	switch k {
	case messageHello:
		return "hello"
	case messageRefuse:
		return "refuse"
	case messageSockets:
		return "sockets"
	case messageLearnedState:
		return "learned state"
	case messageClients:
		return "clients"
	case messageConfigVersion:
		return "configuration version"
	case messageComplete:
		return "complete"
	case messageReady:
		return "ready"
	case messageNote:
		return "note"
	case messageConnections:
		return "connections"
	}
	return fmt.Sprintf("unknown kind %q", byte(k))
}

// message returns the bytes of a message.
func message(kind messageKind, payload []byte) []byte {
	return append([]byte{byte(kind)}, payload...)
}

// writeParts sends a payload in as many messages of one kind as needed.
func writeParts(conn *net.UnixConn, kind messageKind, payload []byte) error {
	for len(payload) > 0 {
		n := min(len(payload), maxPartBytes)
		if _, err := conn.Write(message(kind, payload[:n])); err != nil {
			return err
		}
		payload = payload[n:]
	}
	return nil
}

// receive reads a message and its descriptors, which the caller must close.
func receive(conn *net.UnixConn) (kind messageKind, payload []byte, descriptors []int, err error) {
	buf := make([]byte, maxPartBytes+1)
	oob := make([]byte, unix.CmsgSpace(4*maxDescriptors))
	n, oobLen, flags, _, err := conn.ReadMsgUnix(buf, oob)
	if err != nil {
		return 0, nil, nil, err
	}
	descriptors, err = parseDescriptors(oob[:oobLen])
	if err != nil {
		return 0, nil, nil, err
	}
	if n == 0 || flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 {
		closeAll(descriptors)
		return 0, nil, nil, errors.New("empty or truncated message")
	}
	return messageKind(buf[0]), buf[1:n], descriptors, nil
}

// parseDescriptors returns the descriptors in a message's control data, set to close on exec.
func parseDescriptors(oob []byte) (descriptors []int, err error) {
	if len(oob) == 0 {
		return nil, nil
	}
	controls, err := unix.ParseSocketControlMessage(oob)
	if err != nil {
		return nil, err
	}
	for i := range controls {
		rights, err := unix.ParseUnixRights(&controls[i])
		if err != nil {
			return nil, err
		}
		descriptors = append(descriptors, rights...)
	}
	for _, fd := range descriptors {
		unix.CloseOnExec(fd)
	}
	return descriptors, nil
}

func closeAll(descriptors []int) {
	for _, fd := range descriptors {
		unix.Close(fd)
	}
}

// checkSameUser returns an error for a peer process of another user, which must not get
// descriptors and learned state.
func checkSameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return fmt.Errorf("hot restart: identify the peer: %w", err)
	}
	var peer *unix.Ucred
	var peerErr error
	err = raw.Control(func(fd uintptr) {
		peer, peerErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err != nil || peerErr != nil {
		return fmt.Errorf("hot restart: identify the peer: %w", errors.Join(err, peerErr))
	}
	if int(peer.Uid) != os.Getuid() {
		return fmt.Errorf("hot restart: rejected process %d of user %d: peers must run as the user of this process", peer.Pid, peer.Uid)
	}
	return nil
}
