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

// Config is the platform's configuration of one router, a JSON file. ReadConfig reads it.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // address with a port, unless the command names another
	Seed   string `json:"seed"`   // of the router's random choices, in hexadecimal
	Limits struct {
		MemoryMB float64 `json:"memory_mb"` // of the process, in MiB
		Sockets  int     `json:"sockets"`   // descriptors of the process
	} `json:"limits"`
	DiscoveryAddress string          `json:"feed"`     // address with a port of the discovery server
	KnownEvents      json.RawMessage `json:"known"`    // discovery events up to the file's making
	Settings         json.RawMessage `json:"settings"` // of the router's decisions

	settings simwire.Settings
	seed     uint64
}

// The least that a router can work with.
const (
	minMemoryMB = 16
	minSockets  = 32
)

// ReadConfig reads a configuration file and checks all of it. An error that wraps an
// *os.PathError says that the file could not be read, any other what in it is invalid.
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
		return nil, fmt.Errorf("%s: feed %.40q is no address with a port: %w", file, config.DiscoveryAddress, err)
	}
	if config.Limits.MemoryMB < minMemoryMB || config.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("%s: limits of %v MB and %d descriptors; %d and %d are the least", file,
			config.Limits.MemoryMB, config.Limits.Sockets, minMemoryMB, minSockets)
	}
	config.seed, _ = strconv.ParseUint(config.Seed, 16, 64) // any seed will do
	return config, nil
}

// check returns an error for the first field without which requests would be handled in
// another way than its author meant: a write without its idempotency is not one that may be
// retried freely.
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
			problem = fmt.Sprintf("give_up is %v; it has to be above 0", class.Deadline)
		case class.LatencyObjective < 0 || class.PriorityWeight < 0 || class.LateWeightShare < 0:
			problem = "aim, gain or late_worth is negative"
		case class.Idempotency == spool.IdempotentByKey && class.KeyWindow <= 0:
			problem = fmt.Sprintf("window is %v; a guarded class needs one above 0", class.KeyWindow)
		default:
			continue
		}
		return fmt.Errorf("classes[%d] %.40q: %s", i, class.Name, problem)
	}
	return nil
}
