package httpfront

import (
	"context"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/eventloop"
)

// System is the interface of a router to the operating system, which fault injection replaces.
type System struct {
	Files    configstore.FileSystem // of the config store
	Syscalls eventloop.Syscalls     // on the sockets of clients and members; nil for the kernel's
}

// OpenWithSystem is Open with a replaced interface to the operating system.
func OpenWithSystem(ctx context.Context, settings *config.Settings, log *AccessLog, system System) (edge *Edge, end func(), err error) {
	if edge, end, err = open(ctx, settings, log, system.Files); err == nil {
		edge.loop.Intercept(system.Syscalls)
	}
	return edge, end, err
}
