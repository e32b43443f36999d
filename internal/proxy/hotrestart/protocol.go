package hotrestart

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// Version is that of the protocol; predecessor and successor must have the same.
const Version = 2

// messageKind is the first byte of a message. Messages keep their boundaries
// (SOCK_SEQPACKET).
type messageKind byte

const (
	messageHello         messageKind = 'h' // successor: protocol version
	messageRefuse        messageKind = 'x' // predecessor: the reason
	messageSockets       messageKind = 's' // predecessor: a byte for each descriptor that comes along (socketListener, socketAdmin)
	messageLearnedState  messageKind = 'm' // predecessor: part of the learned state
	messageClients       messageKind = 'p' // predecessor: part of what is known of clients
	messageConfigVersion messageKind = 'v' // both: part of a configuration version
	messageComplete      messageKind = 'w' // predecessor: the handover is complete; both, later: the configuration version is
	messageReady         messageKind = 'r' // successor: it serves
	messageNote          messageKind = 'n' // both: a note, as JSON
	messageConnections   messageKind = 'c' // predecessor: connections between requests
)

// What a descriptor in messageSockets is.
const (
	socketListener = 'l'
	socketAdmin    = 'a'
)

const (
	maxPartBytes   = 48 << 10         // payload of a message; a datagram must fit the socket's buffer
	maxDescriptors = 64               // in a message; the kernel takes 253
	maxTotalBytes  = 256 << 20        // of a handover, or a configuration version: bounds memory against a faulty peer
	sendQueueLen   = 8192             // descriptors and notes that wait to be sent
	messageTimeout = 10 * time.Second // for each message until the handover is complete
)

// String names the kind in errors.
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

// message is a message's bytes.
func message(kind messageKind, payload []byte) []byte {
	return append([]byte{byte(kind)}, payload...)
}

// writeParts sends a payload as messages of one kind.
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

// receive reads a message and the descriptors that come with it, which are the caller's.
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
		return 0, nil, nil, errors.New("an empty or truncated message")
	}
	return messageKind(buf[0]), buf[1:n], descriptors, nil
}

// parseDescriptors takes the descriptors out of a message's control data.
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

// checkSameUser refuses a peer process of another user: descriptors and learned state are
// for this router's own user alone.
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
		return fmt.Errorf("hot restart: process %d of user %d is rejected; only this process's user may take over", peer.Pid, peer.Uid)
	}
	return nil
}
