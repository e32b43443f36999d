package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	spool "indigospool"
	"indigospool/internal/protocol/simwire"
)

// Config is the platform's JSON configuration of one router. ReadConfig reads it.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // address and port to listen at; an address passed to Open overrides it
	Seed   string `json:"seed"`   // seed of the router's random choices, in hexadecimal
	Limits struct {
		MemoryMB float64 `json:"memory_mb"` // memory limit of the process, in MiB
		Sockets  int     `json:"sockets"`   // descriptor limit of the process
	} `json:"limits"`
	DiscoveryAddress string          `json:"feed"`     // address and port of the discovery server
	KnownEvents      json.RawMessage `json:"known"`    // discovery events up to the creation of the file
	Settings         json.RawMessage `json:"settings"` // settings of the routing decisions

	settings simwire.Settings
	seed     uint64
}

// The smallest limits with which a router works.
const (
	minMemoryMB = 16
	minSockets  = 32
)

// ReadConfig reads and validates a configuration file. The error wraps an *os.PathError if the
// file could not be read; otherwise it says what is invalid.
func ReadConfig(file string) (*Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	config := &Config{}
	if err := json.Unmarshal(raw, config); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if config.settings, err = simwire.ParseSettings(config.Settings); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", file, err)
	}
	if err := config.settings.Module.Valid(); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", file, err)
	}
	if err := config.check(); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", file, err)
	}
	if _, err := netip.ParseAddrPort(config.DiscoveryAddress); err != nil {
		return nil, fmt.Errorf("%s: feed %.40q is not an address with a port: %w", file, config.DiscoveryAddress, err)
	}
	if config.Limits.MemoryMB < minMemoryMB || config.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("%s: limits of %v MB and %d descriptors, want at least %d MB and %d descriptors", file,
			config.Limits.MemoryMB, config.Limits.Sockets, minMemoryMB, minSockets)
	}
	config.seed, _ = strconv.ParseUint(config.Seed, 16, 64) // an invalid seed is no error: any value works
	return config, nil
}

// check returns an error for the first field that is missing or invalid and for which a default
// would be dangerous: without its idempotency, for example, a write would be retried freely.
func (c *Config) check() error {
	var raw struct {
		Classes []struct {
			Name, Idempotency string
		}
		Limits struct {
			MaxAttempts *float64 `json:"max_attempts"`
		}
	}
	if err := json.Unmarshal(c.Settings, &raw); err != nil {
		return err
	}
	maxAttempts := raw.Limits.MaxAttempts
	if maxAttempts == nil || *maxAttempts < 1 {
		return errors.New("limits: max_attempts is missing or under 1")
	}
	for i, class := range c.settings.Module.Classes {
		problem := ""
		switch {
		case class.Name == "":
			problem = "name is missing"
		case raw.Classes[i].Idempotency == "":
			problem = "idempotency is missing: free, guarded or single_shot"
		case class.Deadline <= 0:
			problem = fmt.Sprintf("give_up is %v, want a value above 0", class.Deadline)
		case class.LatencyObjective < 0 || class.PriorityWeight < 0 || class.LateWeightShare < 0:
			problem = "aim, gain or late_worth is negative"
		case class.Idempotency == spool.IdempotentByKey && class.KeyWindow <= 0:
			problem = fmt.Sprintf("window is %v, want a value above 0 for a guarded class", class.KeyWindow)
		default:
			continue
		}
		return fmt.Errorf("classes[%d] %.40q: %s", i, class.Name, problem)
	}
	return nil
}
