package main_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a manual page that omits a subcommand or a flag, or documents a flag
// that no subcommand has.
func TestManualDocumentsCommandsAndFlags(t *testing.T) {
	p := build(t)
	data, err := os.ReadFile(filepath.Join("..", "docs", "cowslipctl.md"))
	require.NoError(t, err)
	page := string(data)
	_, help := p.run("", "--help")
	_, list, _ := strings.Cut(help, "SUBCOMMANDS\n")
	flags := map[string]bool{}
	commands := regexp.MustCompile(`(?m)^  (\w+) `).FindAllStringSubmatch(list, -1)
	require.GreaterOrEqual(t, len(commands), 8)
	for _, command := range commands {
		require.Regexp(t, `(?m)^\*\*`+command[1]+`\*\* `, page)
		require.Contains(t, page, "    cowslipctl "+command[1])
		_, help := p.run("", command[1], "--help")
		_, list, _ := strings.Cut(help, "FLAGS\n")
		for _, flag := range regexp.MustCompile(`(?m)^  -([\w-]+)`).FindAllStringSubmatch(list, -1) {
			flags[flag[1]] = true
			require.Regexp(t, "(?m)^`--.*--"+flag[1]+"[ `]|^`--"+flag[1]+"[ `]", page, "%s --%s", command[1], flag[1])
		}
	}
	for _, flag := range regexp.MustCompile("`--([\\w-]+)").FindAllStringSubmatch(page, -1) {
		require.True(t, flags[flag[1]], "no subcommand has the flag --%s", flag[1])
	}
}
