package service

import (
	"fmt"
	"net"
	"time"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/configversion"
	"indigospool/internal/controlplane/rollout"
)

// Settings is the settings file of a control service. Times are in milliseconds, shares
// are from 0 to 1.
type Settings struct {
	Service ServiceSection `edn:"service,required"`
	Rollout RolloutSection `edn:"rollout"`
	Checks  ChecksSection  `edn:"checks"`
}

// ServiceSection is (service ...): the listeners, the store and the limits of a
// service.
type ServiceSection struct {
	Place            config.Place
	Name             string  `edn:"name" def:"control"`
	Listen           string  `edn:"listen" def:"127.0.0.1:9900"`         // for routers, host:port
	Admin            string  `edn:"admin" def:"127.0.0.1:9901"`          // for operators: a loopback address, or the path of a Unix socket
	Store            string  `edn:"store,required"`                      // file with the service's state
	Folder           string  `edn:"folder"`                              // folder with settings files *.edn, whose changes are pushed; empty: none is watched
	MaxVersions      int     `edn:"keep" def:"64" min:"2" max:"900"`     // maximum number of stored versions
	MaxStreams       int     `edn:"streams" def:"4000" min:"1"`          // maximum number of open streams
	StreamsPerSecond float64 `edn:"per-second" def:"200" min:"0.1"`      // rate at which streams are admitted; others wait or are rejected
	ReportInterval   float64 `edn:"reports" def:"10000" min:"100"`       // interval of the routers' load reports
	MaxBytes         int     `edn:"max-bytes" def:"16777216" min:"1024"` // size limit of pushed settings
	Cert             string  `edn:"cert"`                                // PEM files; all three or none
	Key              string  `edn:"key"`
	Authorities      string  `edn:"authorities"`
	Log              string  `edn:"log" def:"stderr"` // stderr, stdout, none or a file
}

// RolloutSection is (rollout ...), see rollout.Settings.
type RolloutSection struct {
	Stages           []float64 `edn:"stages" min:"0" max:"1"` // default 0 0.1 1: one router, a tenth of them, all
	MinStageTime     float64   `edn:"hold" def:"30000" min:"0"`
	AnswerTimeout    float64   `edn:"patience" def:"120000" min:"1"`
	MaxRejectedShare float64   `edn:"refused" min:"0" max:"1"`
	MaxSilentShare   float64   `edn:"silent" def:"0.05" min:"0" max:"1"`
	MaxInTimeDrop    float64   `edn:"fall" def:"0.05" min:"0.001" max:"1"`
	MinRequests      float64   `edn:"asked" def:"200" min:"1"`
}

// ChecksSection is (checks ...), see configversion.CheckLimits.
type ChecksSection struct {
	ParentChurn     float64 `edn:"parent-churn" def:"0.5" min:"0.01" max:"1"`
	CacheChurn      float64 `edn:"box-churn" def:"0.67" min:"0.01" max:"1"`
	MaxCapacity     float64 `edn:"max-size" def:"1000000" min:"1"`
	MaxLinkCapacity float64 `edn:"max-link" def:"1000000" min:"1"`
}

// Check adds a fault for each contradiction between settings, and for listeners that
// would be reachable from other machines without a certificate.
func (s *Settings) Check(faults *config.Faults) {
	s.Service.check(faults)
	s.Rollout.check(faults, s.Service.Place.Pos)
}

func (s *ServiceSection) check(faults *config.Faults) {
	host, _, err := net.SplitHostPort(s.Listen)
	if err != nil {
		addFault(faults, s.Place.Of("listen"), "service/listen", fmt.Sprintf("%q is not an address", s.Listen), "write host:port")
	} else if s.Cert == "" && !isLoopback(host) {
		addFault(faults, s.Place.Of("listen"), "service/listen", fmt.Sprintf("%q is not a loopback address, and there is no certificate", s.Listen),
			"set (cert FILE) (key FILE) (authorities FILE), since versions determine where requests go")
	}
	if !isSocketPath(s.Admin) {
		host, _, err := net.SplitHostPort(s.Admin)
		if err != nil || !isLoopback(host) {
			addFault(faults, s.Place.Of("admin"), "service/admin", fmt.Sprintf("%q is not a loopback address", s.Admin),
				"the listener for operators has no password: bind it to 127.0.0.1 or to a Unix socket")
		}
	}
	given := 0
	for _, file := range []string{s.Cert, s.Key, s.Authorities} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		addFault(faults, s.Place.Pos, "service/cert", "cert, key and authorities are not all given", "set all three or none")
	}
}

// check reports faults at pos, since the section has no position of its own.
func (r *RolloutSection) check(faults *config.Faults, pos config.Pos) {
	for i := 1; i < len(r.Stages); i++ {
		if r.Stages[i] <= r.Stages[i-1] {
			addFault(faults, pos, "rollout/stages", fmt.Sprintf("%v is not ascending", r.Stages), "set ascending shares, the last one 1")
		}
	}
	if n := len(r.Stages); n > 0 && r.Stages[n-1] != 1 {
		addFault(faults, pos, "rollout/stages", fmt.Sprintf("the last of %v is not 1", r.Stages), "end with 1, which means all routers")
	}
}

func addFault(faults *config.Faults, pos config.Pos, key, what, remedy string) {
	*faults = append(*faults, config.Fault{Pos: pos, Key: key, What: what, Remedy: remedy})
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// serverConfig returns the server's configuration according to these settings.
func (s *Settings) serverConfig(stateStore *diskStateStore, state rollout.State) ServerConfig {
	return ServerConfig{
		Name:             s.Service.Name + "/" + stateStore.id,
		Rollout:          s.Rollout.settings(),
		State:            state,
		Store:            stateStore,
		StreamsPerSecond: s.Service.StreamsPerSecond,
		MaxStreams:       s.Service.MaxStreams,
		ReportInterval:   time.Duration(s.Service.ReportInterval * float64(time.Millisecond)),
		Limits:           s.Checks.limits(),
	}
}

func (r RolloutSection) settings() rollout.Settings {
	return rollout.Settings{
		Stages:           r.Stages,
		MinStageTime:     r.MinStageTime,
		AnswerTimeout:    r.AnswerTimeout,
		MaxRejectedShare: r.MaxRejectedShare,
		MaxSilentShare:   r.MaxSilentShare,
		MaxInTimeDrop:    r.MaxInTimeDrop,
		MinRequests:      r.MinRequests,
	}
}

func (c ChecksSection) limits() configversion.CheckLimits {
	return configversion.CheckLimits{ParentChurn: c.ParentChurn, CacheChurn: c.CacheChurn, MaxCapacity: c.MaxCapacity, MaxLinkCapacity: c.MaxLinkCapacity}
}
