package edge

import (
	"context"

	"indigospool/internal/config"
	"indigospool/internal/lastgood"
)

// System is what a router has of the operating system; fault injection replaces it.
type System struct {
	Files lastgood.FileSystem // of the store of versions
}

// OpenOn is Open on another system.
func OpenOn(ctx context.Context, s *config.Settings, log *AccessLog, system System) (e *Edge, end func(), err error) {
	return open(ctx, s, log, system.Files)
}
