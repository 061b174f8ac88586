package elmloopback_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"testing"

	"github.com/elmcove/elmcove/internal/stand/elmloopback"
)

// number is the network that the tests ask for, and childVariable tells the test program to
// reserve it too.
const (
	number        = 4711
	childVariable = "ELMLOOPBACK_CHILD"
)

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	network, err := elmloopback.Reserve(context.Background(), number)
	if err != nil {
		panic(err)
	}
	fmt.Println(network.IP(2))
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// Guards against two runs with the same seed that listen at the same addresses and take each
// other's requests.
func TestReserve(t *testing.T) {
	reserve := func() *elmloopback.Network {
		network, err := elmloopback.Reserve(t.Context(), number)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(network.Release)
		return network
	}
	first, second := reserve(), reserve()
	third, endChild := startChild(t, first)
	if a, b := first.IP(2), second.IP(2); a == b || a == third || b == third {
		t.Errorf("addresses %s, %s and that of another process %s, want different ones", a, b, third)
	}
	first.Release()
	if again := reserve(); again.IP(2) == first.IP(2) {
		t.Errorf("%s is reserved again while a process holds it", first.IP(2))
	}
	endChild()
	if again := reserve(); again.IP(2) != first.IP(2) {
		t.Errorf("after the release of %s the address is %s", first.IP(2), again.IP(2))
	}
}

// startChild starts a process that holds a network and reserves one of its own. It returns
// the address of the latter, and a function that ends the process.
func startChild(t *testing.T, held *elmloopback.Network) (address string, end func()) {
	t.Helper()
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childVariable+"=1")
	held.Hold(child)
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	input, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fscan(output, &address); err != nil {
		t.Fatal(err)
	}
	return address, func() {
		_ = input.Close() // It ends the process.
		if err := child.Wait(); err != nil {
			t.Error(err)
		}
	}
}
