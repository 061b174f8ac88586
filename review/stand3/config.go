package main

// config is the operator's configuration.
type config struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []serviceEntry `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	TimeoutMS int    `json:"timeoutMs"`
	SloMS     int    `json:"sloMs"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"attempts"`
	Public    bool   `json:"public"`
	Sticky    bool   `json:"sticky"`
	Resumable bool   `json:"resumable"`
}

type serviceEntry struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	ColdStartS     float64 `json:"coldStartS"`
	ColdPerS       float64 `json:"coldPerS"`
}

type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

// newConfig returns a configuration of plain services without routes.
func newConfig(coldPerS float64, services ...string) *config {
	c := &config{
		Version: 3,
		Limits:  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []tenant{{Name: "hule930", Keys: []string{credential}, Priority: 1}},
	}
	for _, name := range services {
		s := serviceEntry{Name: name, HealthPath: "/health", MaxConnections: 200, Protocol: "h1", ColdPerS: coldPerS}
		if coldPerS > 0 {
			s.ColdStartS = coldTime.Seconds()
		}
		c.Services = append(c.Services, s)
	}
	return c
}

// add adds a route.
func (c *config) add(name, prefix, kind, service string, attempts int) {
	c.Routes = append(c.Routes, route{
		Name: name, Host: hostName, Prefix: prefix, Kind: kind, TimeoutMS: 3000, SloMS: 300, Priority: 1,
		Service: service, Attempts: attempts,
	})
}
