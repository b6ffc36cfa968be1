package pgstand

import (
	"context"
	"fmt"
	"strings"
)

// Backup copies the rows to a file. Restore puts them back in place of the present ones.
func (s *Server) Backup(to string) error {
	_, err := s.database.Exec("VACUUM INTO ?", to)
	return err
}

// Restore goes back to a backup, as an operator does with a server that is down.
func (s *Server) Restore(from string) error {
	s.Cut()
	for _, table := range []string{"record_fact", "record_meta"} {
		if _, err := s.database.Exec("DELETE FROM " + table); err != nil {
			return err
		}
	}
	ctx := context.Background()
	conn, err := s.database.Conn(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	for _, statement := range []string{
		"ATTACH '" + strings.ReplaceAll(from, "'", "''") + "' AS old",
		"INSERT INTO record_meta SELECT * FROM old.record_meta",
		"INSERT INTO record_fact SELECT * FROM old.record_fact",
	} {
		if _, err := conn.ExecContext(ctx, statement); err != nil {
			return fmt.Errorf("restore: %w", err)
		}
	}
	_, err = conn.ExecContext(ctx, "DETACH old")
	return err
}
