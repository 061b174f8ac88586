package elmcatalog_test

import (
	"testing"

	"github.com/elmcove/elmcove/internal/model/elmcatalog"
)

// Guards against decisions that change for services whose requests all have the same priority,
// and against a catalog that keeps the ranks of the version before.
func TestRanked(t *testing.T) {
	one, two := 1, 2
	plain := []elmcatalog.Workspace{{Name: "crew", Credentials: []string{"a"}}}
	for name, c := range map[string]struct {
		priorities []int
		public     bool
		workspaces []elmcatalog.Workspace
		ranked     bool
	}{
		"equal routes":                 {priorities: []int{1, 1}, workspaces: plain},
		"different routes":             {priorities: []int{0, 1}, workspaces: plain, ranked: true},
		"different public route":       {priorities: []int{0, 1}, public: true, workspaces: plain},
		"no credentials":               {priorities: []int{0, 1}},
		"different workspaces":         {priorities: []int{1}, workspaces: []elmcatalog.Workspace{{Name: "x", Priority: &one, Credentials: []string{"a"}}, {Name: "y", Priority: &two, Credentials: []string{"b"}}}, ranked: true},
		"workspace with the route's":   {priorities: []int{1}, workspaces: append(plain, elmcatalog.Workspace{Name: "x", Priority: &one, Credentials: []string{"b"}})},
		"workspace unlike the route's": {priorities: []int{1}, workspaces: append(plain, elmcatalog.Workspace{Name: "x", Priority: &two, Credentials: []string{"b"}}), ranked: true},
	} {
		t.Run(name, func(t *testing.T) {
			var routes []*elmcatalog.Route
			for i, p := range c.priorities {
				routes = append(routes, &elmcatalog.Route{
					Host: "h", Prefix: string(rune('a' + i)), Priority: p, Public: c.public && i > 0,
					Targets: []elmcatalog.Target{{Service: "desk", Weight: 1}},
				})
			}
			catalog, err := elmcatalog.New(1, routes, nil, c.workspaces, elmcatalog.Limits{})
			if err != nil || catalog.Ranked("desk") != c.ranked || catalog.Ranked("other") {
				t.Errorf("ranked %v, error %v", catalog.Ranked("desk"), err)
			}
			next, err := catalog.WithVersion(2, elmcatalog.Limits{}).WithRoutes(routes, nil)
			if err != nil || next.Ranked("desk") || catalog.WithWorkspaces(nil).Ranked("desk") {
				t.Error("ranked without routes or without workspaces")
			}
		})
	}
}
