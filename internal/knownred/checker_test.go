package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a list whose entries are not understood, so that a test is passed
// over that was not named, or a test that was named is not.
func TestParseList(t *testing.T) {
	listed, err := parseList(strings.NewReader("test: TestA (internal/a)\ncommand: x\n  more\n\n\ntest: FuzzB (platform/soak)\nseen: y\n"), "m")
	require.NoError(t, err)
	require.Equal(t, []test{{"m/internal/a", "TestA"}, {"m/platform/soak", "FuzzB"}}, listed)
	listed, err = parseList(strings.NewReader("open: a day\ncommand: x\n\ntest: TestA (a)\n"), "m")
	require.NoError(t, err)
	require.Equal(t, []test{{"m/a", "TestA"}}, listed)
	listed, err = parseList(strings.NewReader(" \n\n"), "m")
	require.NoError(t, err)
	require.Empty(t, listed)
	for _, text := range []string{
		"TestA (internal/a)\n", "test: TestA\n", "test: TestA/sub (internal/a)\n", "test: TestA (internal/a)\n\nseen: y\n",
		"test: TestA (internal/a)\ntest: TestB\n", "open: x\ntest: TestB\n", "test: Test.* (internal/a)\n",
	} {
		_, err := parseList(strings.NewReader(text), "m")
		require.Error(t, err, text)
	}
}

// Guards against a list that can't be read and is taken for an empty one.
func TestReadList(t *testing.T) {
	listed, err := readList(t.TempDir() + "/missing")
	require.NoError(t, err)
	require.Empty(t, listed)
	_, err = readList(t.TempDir())
	require.Error(t, err)
}

// started, ended and printed return lines of `go test -json`.
func started(pkg, name string) string {
	return `{"Action":"run","Package":"m/` + pkg + `","Test":"` + name + `"}` + "\n" + printed(pkg, name, "=== RUN   "+name)
}

func ended(action, pkg, name string) string {
	return printed(pkg, name, "--- "+strings.ToUpper(action)+": "+name) + `{"Action":"` + action + `","Package":"m/` + pkg + `","Test":"` + name + `"}` + "\n"
}

func printed(pkg, name, line string) string {
	return `{"Action":"output","Package":"m/` + pkg + `","Test":"` + name + `","Output":"` + line + `\n"}` + "\n"
}

func passes(pkg, name string) string { return started(pkg, name) + ended("pass", pkg, name) }
func fails(pkg, name string) string  { return started(pkg, name) + ended("fail", pkg, name) }

func packagePassed(pkg string) string {
	return printed(pkg, "", "PASS") + printed(pkg, "", `ok  \tm/`+pkg+`\t0.1s`) + `{"Action":"pass","Package":"m/` + pkg + `"}` + "\n"
}

func packageFailed(pkg string) string { return printed(pkg, "", "FAIL") + packageBroken(pkg) }

// packageBroken ends a package whose test binary has not run to its end.
func packageBroken(pkg string) string {
	return printed(pkg, "", `FAIL\tm/`+pkg+`\t0.1s`) + `{"Action":"fail","Package":"m/` + pkg + `"}` + "\n"
}

// Guards against a run that passes although a test failed that is not listed, and
// against one that fails because of a listed test.
func TestVerdict(t *testing.T) {
	known := test{"m/a", "TestKnown"}
	race := printed("a", "", dataRace)
	for name, c := range map[string]struct {
		events string
		passed bool // the result of `go test`
		want   bool
		prints string
	}{
		"all pass":                      {passes("a", "TestKnown") + packagePassed("a") + passes("b", "TestX") + packagePassed("b"), true, true, "ok  \tm/b\t0.1s\nknown red: m/a TestKnown did not fail in this run (pass)\n"},
		"listed fails":                  {passes("a", "TestX") + fails("a", "TestKnown") + packageFailed("a"), false, true, "--- FAIL: TestKnown\nFAIL\nFAIL\tm/a\t0.1s\nknown red: m/a TestKnown failed\n"},
		"subtest of listed fails":       {started("a", "TestKnown") + fails("a", "TestKnown/x") + ended("fail", "a", "TestKnown") + packageFailed("a"), false, true, "FAIL: TestKnown/x"},
		"other fails too":               {fails("a", "TestX") + fails("a", "TestKnown") + packageFailed("a"), false, false, "not passed over: m/a TestX failed"},
		"name with the listed as start": {fails("a", "TestKnownToo") + fails("a", "TestKnown") + packageFailed("a"), false, false, "m/a TestKnownToo failed"},
		"same name, other package":      {passes("a", "TestKnown") + packagePassed("a") + fails("b", "TestKnown") + packageFailed("b"), false, false, "m/b TestKnown failed"},
		"listed panics":                 {started("a", "TestKnown") + printed("a", "TestKnown", "panic: x") + ended("fail", "a", "TestKnown") + packageBroken("a"), false, false, "m/a ended abnormally"},
		"other times out":               {fails("a", "TestKnown") + started("a", "TestX") + packageBroken("a"), false, false, "m/a TestX did not end"},
		"listed exits":                  {started("a", "TestKnown") + packageBroken("a"), false, false, "m/a TestKnown did not end"},
		"panic after the tests":         {fails("a", "TestKnown") + printed("a", "", "FAIL") + printed("a", "", "panic: x") + packageBroken("a"), false, false, "m/a ended abnormally"},
		"race outside the tests":        {fails("a", "TestKnown") + race + packageFailed("a"), false, false, "m/a has a data race"},
		"not built":                     {`{"ImportPath":"m/a","Action":"build-output","Output":"a.go:1: undefined: x\n"}` + "\n" + packageBroken("a"), false, false, "a.go:1: undefined: x\n"},
		"no test failed":                {passes("a", "TestKnown") + packageFailed("a"), false, false, "m/a failed without a failed test"},
		"listed doesn't exist":          {passes("a", "TestX") + packagePassed("a"), true, false, "m/a TestKnown is listed, but no such test was run"},
		"no result of a package":        {fails("a", "TestKnown") + packageFailed("a") + passes("b", "TestX"), false, false, "m/b has no result"},
		"no package failed":             {"go: error\n" + passes("a", "TestKnown") + packagePassed("a"), false, false, "go: error\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			checker := newChecker([]test{known}, &out)
			require.NoError(t, checker.read(strings.NewReader(c.events)))
			checker.endRun(c.passed)
			require.Equal(t, c.want, checker.verdict(), out.String())
			require.Contains(t, out.String(), c.prints)
			require.NotContains(t, out.String(), "=== RUN")
			require.NotContains(t, out.String(), "--- PASS")
		})
	}
}

// Guards against a failure that is lost because another run follows or precedes it, and
// against a listed test that is taken for run although no run contained it.
func TestVerdictOverSeveralRuns(t *testing.T) {
	listed := []test{{"m/a", "TestKnown"}, {"m/c", "TestCrowd"}}
	knownFails := fails("a", "TestKnown") + packageFailed("a")
	crowdFails := fails("c", "TestCrowd") + packageFailed("c")
	noTests := `{"Action":"skip","Package":"m/c"}` + "\n"
	for name, c := range map[string]struct {
		first, second           string
		firstPassed, lastPassed bool
		want                    bool
		prints                  string
	}{
		"each fails in its run":        {knownFails + noTests, crowdFails, false, false, true, "known red: m/c TestCrowd failed"},
		"second passes":                {knownFails + noTests, passes("c", "TestCrowd") + packagePassed("c"), false, true, true, "known red: m/c TestCrowd did not fail in this run (pass)"},
		"one is not run by either":     {knownFails + noTests, passes("c", "TestX") + packagePassed("c"), false, true, false, "m/c TestCrowd is listed, but no such test was run"},
		"other fails in the first":     {fails("a", "TestX") + knownFails, crowdFails, false, false, false, "not passed over: m/a TestX failed"},
		"other fails in the second":    {knownFails, fails("c", "TestX") + crowdFails, false, false, false, "not passed over: m/c TestX failed"},
		"fails first, passes second":   {fails("b", "TestX") + packageFailed("b") + knownFails, passes("b", "TestX") + packagePassed("b") + crowdFails, false, false, false, "not passed over: m/b TestX failed"},
		"second has no result":         {knownFails + noTests, started("c", "TestCrowd"), false, false, false, "m/c has no result"},
		"second fails without package": {knownFails + noTests, passes("c", "TestCrowd") + packagePassed("c"), false, false, false, "go test failed without a failed package"},
		"failures before and in second": {
			fails("b", "TestX") + packageFailed("b") + knownFails, passes("c", "TestCrowd") + packagePassed("c"), false, false, false,
			"go test failed without a failed package",
		},
		"name of the other run's package": {fails("c", "TestKnown") + packageFailed("c") + knownFails, crowdFails, false, false, false, "m/c TestKnown failed"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			checker := newChecker(listed, &out)
			require.NoError(t, checker.read(strings.NewReader(c.first)))
			checker.endRun(c.firstPassed)
			require.NoError(t, checker.read(strings.NewReader(c.second)))
			checker.endRun(c.lastPassed)
			require.Equal(t, c.want, checker.verdict(), out.String())
			require.Contains(t, out.String(), c.prints)
		})
	}
}

// Guards against a command that is left out or merged with the one before it.
func TestSplitCommands(t *testing.T) {
	commands, err := splitCommands([]string{"go", "test", "./...", "--", "go", "test", "-tags", "x", "./y"})
	require.NoError(t, err)
	require.Equal(t, [][]string{{"test", "./..."}, {"test", "-tags", "x", "./y"}}, commands)
	for _, args := range [][]string{nil, {"go"}, {"go", "vet"}, {"go", "test", "--"}, {"--", "go", "test"}, {"go", "test", "--", "go", "vet"}} {
		_, err := splitCommands(args)
		require.Error(t, err, args)
	}
}
