package cowslipproxy_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// platformNames matches headers, paths, topics and fields of the users' platform.
var platformNames = regexp.MustCompile(`X-(Request-Id|Deadline-Ms|Tenant|Expect-Instance|Hop-Count|Request-Priority|Token-Usage|Length-Hint|Prompt-Prefix|Response-Signature|Not-Executed|Server-Load|Weight-Versions)` +
	`|At-Server|Server-Limit|"keyed\.|log-(append|read|newest|join)|/api/(resolve|ready|report|order)|COWSLIPPROXY_BOOT|kv_token_bytes|target_latency_ms|path_prefix|api_keys|drain_mode`)

// Guards against platform-specific names outside package platform, the stand-ins of
// the platform and the tests that act as the platform towards the daemon.
func TestPlatformNamesOnlyInPlatform(t *testing.T) {
	filesChecked := 0
	require.NoError(t, filepath.WalkDir(".", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || path == "names_test.go" {
			return err
		}
		for _, folder := range []string{"platform/", "standin/keeper/", "standin/worker/"} {
			if strings.HasPrefix(path, folder) {
				return nil
			}
		}
		if strings.HasPrefix(path, "cowslipd/relay/") && strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		require.Empty(t, platformNames.FindString(string(data)), path)
		filesChecked++
		return err
	}))
	require.Greater(t, filesChecked, 100)
}
