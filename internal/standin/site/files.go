package site

import (
	"encoding/json"
	"net"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// ServicesFile is the name of the operator file in a settings directory.
const ServicesFile = "services.json"

// LoadBackends reads the settings of all processes beside backend servers from the
// JSON files in a directory. It skips the files of entry hosts and the operator
// file.
func LoadBackends(directory string) ([]process.Backend, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "list settings")
	}
	var backends []process.Backend
	for _, path := range paths {
		is, err := isBackend(path)
		if err != nil {
			return nil, err
		}
		if !is {
			continue
		}
		settings, err := process.LoadBackend(path)
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		backends = append(backends, settings)
	}
	return backends, nil
}

// isBackend reports whether a file holds the settings of a process beside a backend
// server: only those have both a Kind and a PeerAddress.
func isBackend(path string) (bool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return false, errors.Wrap(err, "read settings")
	}
	var head struct {
		Kind        string
		PeerAddress string
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return false, errors.Wrapf(err, "%s", path)
	}
	return head.Kind != "" && head.PeerAddress != "", nil
}

// FreeAddresses returns loopback addresses with different ports that were free when
// they were checked. Another process may take them before they are used.
func FreeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at once
		if err != nil {
			return nil, errors.Wrap(err, "find a free address")
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
