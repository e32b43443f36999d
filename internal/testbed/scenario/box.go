package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"

	"indigospool/internal/cachenode/server"
	"indigospool/internal/cachenode/store"
	"indigospool/internal/testbed/testserver"
	"indigospool/internal/testbed/trafficlog"
)

// cacheNodeConfig configures a box that runs spool-cache: the configuration of the test
// server that it replaces, and the folder that is kept when its process is restarted.
type cacheNodeConfig struct {
	testserver.Config
	Folder string `json:"folder"`
}

// runCacheNode runs a box with a store on disk. It records its traffic as a test server does,
// but has none of a test server's simulated limits: capacity, links, and the overload of a
// cold server.
func runCacheNode() error {
	in := bufio.NewReader(os.Stdin)
	line, err := in.ReadBytes('\n')
	if err != nil {
		return err
	}
	var config cacheNodeConfig
	if err := json.Unmarshal(line, &config); err != nil {
		return err
	}
	faults, err := newInjector(in, os.Stdout)
	if err != nil {
		return err
	}
	fills := config.MaxFills
	if fills <= 0 {
		fills = 1024
	}
	cache, err := server.StartWithFS(faultyFolder{store.Dir(config.Folder), faults}, server.Config{Name: config.ID, Listen: "127.0.0.1:0", Folder: config.Folder, CapacityMB: float64(config.Bytes) / (1 << 20), SegmentMB: max(float64(config.Bytes)/(16<<20), 0.5), Sync: "purges",
		DiskThreads: 2, DiskQueue: 512, DiskTimeout: 2000, MaxFills: fills, FillTimeout: config.FillTimeout, ConnectTimeout: 500, IdleTimeout: 300_000, MaxConns: 20000, MaxBufferedBytes: 1 << 20, MaxBodyBytes: 1 << 20, CompleteAbandonedFills: config.CompleteAbandonedFills},
		func(w string) { fmt.Fprintln(os.Stderr, config.ID, w) })
	if err != nil {
		return err
	}
	cache.Intercept(faults.syscalls())
	writer := trafficlog.NewWriter(os.Stdout)
	kb := map[string]float64{}
	for _, k := range config.Classes {
		kb[k.Name] = k.KB
	}
	cache.OnEvent = func(e server.Event) {
		a := e.Attempt
		r := trafficlog.Record{Event: trafficlog.AttemptReceived, Subject: config.ID, Role: config.Role, Start: config.Start, RouterRequest: a.ID, Attempt: a.Number, From: a.From, Via: a.Via, Source: a.Source, Class: a.Class,
			Object: a.Object, Group: a.Group, Key: e.Header.Get("Idempotency-Key"), Write: e.Method != "GET" && e.Method != "HEAD", ID: e.Header.Get("X-Request-Id"),
			Work: kb[a.Class] / max(config.Flow, 0.01)}
		switch e.What {
		case "recv":
			if r.Note = "look"; a.Source != "" || a.MayFetch {
				r.Note = "fill"
			}
		case "sent":
			r.Event, r.Status, r.Version, r.Bytes, r.Hit = trafficlog.AttemptAnswered, e.Status, e.Version, e.Bytes, e.Hit
		case "done":
			r.Event, r.Bytes = trafficlog.AttemptDone, e.Bytes
		case "left":
			r.Event = trafficlog.AttemptCanceled
		}
		writer.Add(r)
	}
	writer.Add(trafficlog.Record{Event: trafficlog.Started, Subject: config.ID, Role: config.Role, Addr: cache.Addr(), Start: config.Start, Cold: config.Cold, Work: config.Capacity, Note: config.Zone,
		Bytes: cache.Recovered.Bytes})
	go func() {
		faults.readFaults(in)
		cache.Stop()
	}()
	return cache.Run()
}
