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

	settings simwire.Settings
	seed     uint64
}

// The least that a router can work with.
const (
	minMemoryMB = 16
	minSockets  = 32
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
	if c.settings, err = simwire.ParseSettings(c.Settings); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", file, err)
	}
	if err := c.settings.Module.Valid(); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", file, err)
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", file, err)
	}
	if _, err := netip.ParseAddrPort(c.Feed); err != nil {
		return nil, fmt.Errorf("%s: feed %.40q is no address with a port: %w", file, c.Feed, err)
	}
	if c.Limits.MemoryMB < minMemoryMB || c.Limits.Sockets < minSockets {
		return nil, fmt.Errorf("%s: limits of %v MB and %d descriptors; %d and %d are the least", file,
			c.Limits.MemoryMB, c.Limits.Sockets, minMemoryMB, minSockets)
	}
	c.seed, _ = strconv.ParseUint(c.Seed, 16, 64) // any seed will do
	return c, nil
}

// check names the first field without which requests would be handled otherwise than
// whoever wrote the settings meant: a write whose effect is left out is not one that may
// be repeated at will.
func (c *Config) check() error {
	var written struct {
		Classes []struct {
			Name, Idempotency string
		}
		Limits struct {
			MaxAttempts *float64 `json:"max_attempts"`
		}
	}
	if err := json.Unmarshal(c.Settings, &written); err != nil {
		return err
	}
	if attempts := written.Limits.MaxAttempts; attempts == nil || *attempts < 1 {
		return errors.New("limits: max_attempts is missing or under 1")
	}
	for i, class := range c.settings.Module.Classes {
		fault := ""
		switch {
		case class.Name == "":
			fault = "name is missing"
		case written.Classes[i].Idempotency == "":
			fault = "idempotency is missing: free, guarded or single_shot"
		case class.Deadline <= 0:
			fault = fmt.Sprintf("give_up is %v; it has to be above 0", class.Deadline)
		case class.Aim < 0 || class.Worth < 0 || class.LateWorth < 0:
			fault = "aim, gain or late_worth is negative"
		case class.Effect == spool.Guarded && class.Window <= 0:
			fault = fmt.Sprintf("window is %v; a guarded class needs one above 0", class.Window)
		default:
			continue
		}
		return fmt.Errorf("classes[%d] %.40q: %s", i, class.Name, fault)
	}
	return nil
}
