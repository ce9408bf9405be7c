package scenario

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// bin is the directory of the programs that the scenarios run.
var bin string

func TestMain(m *testing.M) {
	os.Exit(runMain(m))
}

func runMain(m *testing.M) int {
	dir, err := os.MkdirTemp("", "persimmonpick-bin-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		"../cmd/persimmonpickd", "../cmd/persimmonpick", "../standins/platformd", "../standins/backendd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return 1
	}
	bin = dir
	return m.Run()
}

// Runs the scripts in testdata. The first comment of a script names the failures that it guards against.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"site":       cmdSite,
			"ready":      cmdReady,
			"admit":      cmdAdmit,
			"request":    cmdRequest,
			"submit":     cmdSubmit,
			"job":        cmdJob,
			"cancel":     cmdCancel,
			"signal":     cmdSignal,
			"start":      cmdStart,
			"exitcode":   cmdExitCode,
			"fault":      cmdFault,
			"clear":      cmdClear,
			"hosts":      cmdHosts,
			"truncate":   cmdTruncate,
			"violations": cmdViolations,
			"runs":       cmdRuns,
			"load":       cmdLoad,
			"backends":   cmdBackends,
			"limit":      cmdLimit,
			"mark":       cmdMark,
			"took":       cmdTook,
			"pick":       cmdPick,
			"call":       cmdCall,
			"net":        cmdNet,
			"handshake":  cmdHandshake,
			"inforce":    cmdInForce,
			"notready":   cmdNotReady,
			"backfault":  cmdBackendFault,
			"certs":      cmdCerts,
			"keyruns":    cmdKeyRuns,
			"answers":    cmdAnswers,
			"burst":      cmdBurst,
			"noneruns":   cmdNoneRuns,
		},
	})
}
