package httpfront

import (
	"context"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configstore"
	"indigospool/internal/eventloop"
)

// System is what a router has of the operating system; fault injection replaces it.
type System struct {
	Files    configstore.FileSystem // of the store of versions
	Syscalls eventloop.Syscalls     // on clients' and members' sockets; nil: the kernel's
}

// OpenWithSystem is Open on another system.
func OpenWithSystem(ctx context.Context, settings *config.Settings, log *AccessLog, system System) (edge *Edge, end func(), err error) {
	if edge, end, err = open(ctx, settings, log, system.Files); err == nil {
		edge.loop.Intercept(system.Syscalls)
	}
	return edge, end, err
}
