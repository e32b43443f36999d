package node

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"indigospool/internal/wire"
)

// Config is the platform's configuration of one router.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Feed     string          `json:"feed"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`

	settings wire.Settings
	seed     uint64
}

// The least that a router can work with.
const (
	leastMemoryMB = 16
	leastSockets  = 32
)

// ReadConfig reads a configuration file and checks it whole.
func ReadConfig(file string) (*Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c := &Config{}
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if c.settings, err = wire.ParseSettings(c.Settings); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", file, err)
	}
	if err := c.settings.Module.Valid(); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", file, err)
	}
	if _, err := netip.ParseAddrPort(c.Feed); err != nil {
		return nil, fmt.Errorf("%s: feed %.40q is no address with a port: %w", file, c.Feed, err)
	}
	if c.Limits.MemoryMB < leastMemoryMB || c.Limits.Sockets < leastSockets {
		return nil, fmt.Errorf("%s: limits of %v MB and %d descriptors; %d and %d are the least", file,
			c.Limits.MemoryMB, c.Limits.Sockets, leastMemoryMB, leastSockets)
	}
	c.seed, _ = strconv.ParseUint(c.Seed, 16, 64) // any seed will do
	return c, nil
}
