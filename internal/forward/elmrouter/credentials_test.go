package elmrouter_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/elmcove/elmcove/platform"
)

// TestRevokedCredential checks that a revoked credential is refused. While the
// store is down, all credentials are refused before the revocation limit, because
// the entry can't learn of revocations. Public routes stay open.
func TestRevokedCredential(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, func(s *platform.Settings) { s.Bounds.RevokeDelay = 3500 * time.Millisecond })
	f.store.Put("op/config", configuration(2, "other"))
	f.eventually("refused", func() bool { return f.call(t.Context(), "POST", "/once/a", "", nil).status == http.StatusUnauthorized })
	f.store.Put("op/config", configuration(3, credential))
	f.eventually("served", func() bool { return f.call(t.Context(), "POST", "/once/a", "", nil).status == http.StatusOK })
	f.store.RefuseWhen(func(*http.Request) bool { return true })
	down := time.Now()
	f.eventually("refused", func() bool {
		got := f.call(t.Context(), "POST", "/once/a", "", nil)
		return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
	})
	if elapsed := time.Since(down); elapsed > 3500*time.Millisecond {
		t.Errorf("credentials were accepted for %v without the store", elapsed)
	}
	if got := f.call(t.Context(), "GET", "/open/a", "", nil); got.status != http.StatusOK {
		t.Errorf("a public route is refused: %+v", got)
	}
	if f.status("http://"+f.settings.Readiness+platform.ReadinessPath) == http.StatusOK {
		t.Error("the entry still reports ready")
	}
}

// Guards against requests that run without a valid credential because the last workspace was
// removed, whatever the operator's tool writes for a list without elements.
func TestLastWorkspaceIsRemoved(t *testing.T) {
	t.Parallel()
	const list = `"tenants":[{"apiKeys":["` + credential + `"],"name":"crew","priority":1}]`
	for name, section := range map[string]string{
		"empty list": `"tenants":[]`,
		"null":       `"tenants":null`,
		"no list":    `"others":[]`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1, nil)
			document := string(configuration(2, credential))
			if !strings.Contains(document, list) {
				t.Fatal(document)
			}
			f.store.Put("op/config", []byte(strings.Replace(document, list, section, 1)))
			f.eventually("in force", func() bool { return strings.Contains(f.log.String(), `"version":2`) })
			for _, c := range []string{credential, "never held", ""} {
				if got := f.call(t.Context(), "POST", "/once/a", "", map[string]string{"Credential": c}); got.status != http.StatusUnauthorized {
					t.Errorf("credential %q: %+v", c, got)
				}
			}
			if got := f.call(t.Context(), "GET", "/open/a", "", nil); got.status != http.StatusOK {
				t.Errorf("a public route is refused: %+v", got)
			}
		})
	}
}

// Guards against credentials that are taken for longer than the revocation limit although the newest
// configuration, which may have revoked them, is missing or can't be read.
func TestUnusableConfigurationTakesNoCredential(t *testing.T) {
	t.Parallel()
	whole := string(configuration(2, "other"))
	for name, text := range map[string]string{
		"workspaces are no list": `{"version":2,"tenants":{}}`,
		"credentials no list":    strings.Replace(whole, `["other"]`, `"none"`, 1),
		"breaks off":             whole[:len(whole)-20],
		"no version":             strings.Replace(whole, `"version":2`, `"others":2`, 1),
		"missing":                "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1, func(s *platform.Settings) { s.Bounds.RevokeDelay = 3500 * time.Millisecond })
			if text == "" {
				f.store.Delete("op/config")
			} else {
				f.store.Put("op/config", []byte(text))
			}
			written := time.Now()
			f.eventually("refused", func() bool {
				got := f.call(t.Context(), "POST", "/once/a", "", nil)
				return got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != ""
			})
			if elapsed := time.Since(written); elapsed > f.settings.Bounds.RevokeDelay {
				t.Errorf("the credential was taken for %v", elapsed)
			}
			if got := f.call(t.Context(), "GET", "/open/a", "", nil); got.status != http.StatusOK {
				t.Errorf("a public route is refused: %+v", got)
			}
			if got := f.status("http://" + f.settings.Readiness + platform.ReadinessPath); got != http.StatusOK {
				t.Errorf("readiness %d", got)
			}
			f.store.Put("op/config", configuration(3, credential))
			f.eventually("served", func() bool { return f.call(t.Context(), "POST", "/once/a", "", nil).status == http.StatusOK })
		})
	}
}

// Guards against callers without a credential who are admitted by an empty one in the
// configuration, and against requests that reach endpoints without the name of their workspace.
func TestEmptyValuesAdmitNobody(t *testing.T) {
	t.Parallel()
	for name, workspace := range map[string]string{
		"empty credential":      `{"name":"crew","apiKeys":["other",""]}`,
		"null for a credential": `{"name":"crew","apiKeys":["other",null]}`,
		"empty name":            `{"name":"","apiKeys":["` + credential + `"]},{"name":"crew","apiKeys":["other"]}`,
		"no name":               `{"apiKeys":["` + credential + `"]},{"name":"crew","apiKeys":["other"]}`,
		"null for a workspace":  `null,{"name":"crew","apiKeys":["other"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1, nil)
			document := strings.Replace(string(configuration(2, credential)), `{"apiKeys":["`+credential+`"],"name":"crew","priority":1}`, workspace, 1)
			f.store.Put("op/config", []byte(document))
			f.eventually("in force", func() bool { return strings.Contains(f.log.String(), `"version":2`) })
			for _, c := range []string{credential, ""} {
				if got := f.call(t.Context(), "POST", "/once/a", "", map[string]string{"Credential": c}); got.status != http.StatusUnauthorized {
					t.Errorf("credential %q: %+v", c, got)
				}
			}
			if got := f.call(t.Context(), "POST", "/once/a", "", map[string]string{"Credential": "other"}); got.status != http.StatusOK {
				t.Errorf("the workspace beside it is refused: %+v", got)
			}
			if !strings.Contains(f.log.String(), `"ignored":1`) {
				t.Error("the log does not tell that something was ignored")
			}
		})
	}
}
