package service

import (
	"fmt"
	"net"
	"strings"

	"indigospool/internal/config"
	"indigospool/internal/controlplane/rollout"
)

// Settings is the settings file of a control service. Spans are in ms.
type Settings struct {
	Service ServiceSection `edn:"service,required"`
	Rollout RolloutSection `edn:"rollout"`
	Checks  ChecksSection  `edn:"checks"`
}

// ServiceSection is what the service is.
type ServiceSection struct {
	Place       config.Place
	Name        string  `edn:"name" def:"control"`
	Listen      string  `edn:"listen" def:"127.0.0.1:9900"` // for routers
	Admin       string  `edn:"admin" def:"127.0.0.1:9901"`  // for operators: a loopback address, or the path of a Unix socket
	Store       string  `edn:"store,required"`              // file of its state
	Folder      string  `edn:"folder"`                      // of settings, *.edn; what changes there is offered; empty: only what is pushed
	Keep        int     `edn:"keep" def:"64" min:"2" max:"900"`
	Streams     int     `edn:"streams" def:"4000" min:"1"`
	PerSecond   float64 `edn:"per-second" def:"200" min:"0.1"` // streams that may begin; others wait or come back
	Reports     float64 `edn:"reports" def:"10000" min:"100"`  // how often routers report service
	MaxBytes    int     `edn:"max-bytes" def:"16777216" min:"1024"`
	Cert        string  `edn:"cert"`
	Key         string  `edn:"key"`
	Authorities string  `edn:"authorities"`
	Log         string  `edn:"log" def:"stderr"` // stderr, stdout, none or a file
}

// RolloutSection is rollout.Settings.
type RolloutSection struct {
	Stages   []float64 `edn:"stages" min:"0" max:"1"` // default 0 0.1 1: one router, a tenth, all
	Hold     float64   `edn:"hold" def:"30000" min:"0"`
	Patience float64   `edn:"patience" def:"120000" min:"1"`
	Refused  float64   `edn:"refused" min:"0" max:"1"`
	Silent   float64   `edn:"silent" def:"0.05" min:"0" max:"1"`
	Fall     float64   `edn:"fall" def:"0.05" min:"0.001" max:"1"`
	Asked    float64   `edn:"asked" def:"200" min:"1"`
}

// ChecksSection is configversion.CheckLimits.
type ChecksSection struct {
	ParentChurn float64 `edn:"parent-churn" def:"0.5" min:"0.01" max:"1"`
	BoxChurn    float64 `edn:"box-churn" def:"0.67" min:"0.01" max:"1"`
	MaxSize     float64 `edn:"max-size" def:"1000000" min:"1"`
	MaxLink     float64 `edn:"max-link" def:"1000000" min:"1"`
}

// Check tells what contradicts itself.
func (s *Settings) Check(faults *config.Faults) {
	addFault := func(pos config.Pos, key, what, remedy string) {
		*faults = append(*faults, config.Fault{Pos: pos, Key: key, What: what, Remedy: remedy})
	}
	section := &s.Service
	host, _, err := net.SplitHostPort(section.Listen)
	if err != nil {
		addFault(section.Place.Of("listen"), "service/listen", fmt.Sprintf("%q is no address", section.Listen), "write host:port")
	} else if section.Cert == "" && !loopback(host) {
		addFault(section.Place.Of("listen"), "service/listen", fmt.Sprintf("%q is not a loopback address, and there is no certificate", section.Listen),
			"give (cert FILE) (key FILE) (authorities FILE): versions say where requests go")
	}
	if !strings.HasPrefix(section.Admin, "/") {
		if host, _, err := net.SplitHostPort(section.Admin); err != nil || !loopback(host) {
			addFault(section.Place.Of("admin"), "service/admin", fmt.Sprintf("%q is not a loopback address", section.Admin),
				"the listener for operators has no password: bind it to 127.0.0.1 or to a Unix socket")
		}
	}
	if n := len(section.Cert) * len(section.Key) * len(section.Authorities); n == 0 && section.Cert+section.Key+section.Authorities != "" {
		addFault(section.Place.Pos, "service/cert", "cert, key and authorities are not all given", "give all three, or none")
	}
	for i := 1; i < len(s.Rollout.Stages); i++ {
		if s.Rollout.Stages[i] <= s.Rollout.Stages[i-1] {
			addFault(section.Place.Pos, "rollout/stages", fmt.Sprintf("%v does not rise", s.Rollout.Stages), "give rising shares, the last 1")
		}
	}
	if n := len(s.Rollout.Stages); n > 0 && s.Rollout.Stages[n-1] != 1 {
		addFault(section.Place.Pos, "rollout/stages", fmt.Sprintf("the last of %v is not 1", s.Rollout.Stages), "end with 1: all routers")
	}
}

func loopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

func (r RolloutSection) settings() rollout.Settings {
	return rollout.Settings{Stages: r.Stages, MinStageTime: r.Hold, AnswerTimeout: r.Patience, MaxRejectedShare: r.Refused, MaxSilentShare: r.Silent,
		MaxServiceDrop: r.Fall, MinRequests: r.Asked}
}
