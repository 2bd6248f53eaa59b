package entry

import (
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/savoryshift/savoryshift/mirror"
	"github.com/savoryshift/savoryshift/platform"
)

// ignoredRows holds the rows of one table that are ignored because they are malformed.
type ignoredRows struct {
	// positions maps the keys of the rows to their positions. Only update uses it, which
	// is never called concurrently.
	positions map[string]mirror.Position
	count     atomic.Int64
}

// update replaces the rows. It returns those that were not ignored at the same revision
// before.
func (r *ignoredRows) update(rows []platform.RowError) []platform.RowError {
	var added []platform.RowError
	positions := make(map[string]mirror.Position, len(rows))
	for _, row := range rows {
		position := mirror.Position{Era: row.Era, Revision: row.Revision}
		if earlier, known := r.positions[row.Key]; !known || earlier != position {
			added = append(added, row)
		}
		positions[row.Key] = position
	}
	r.positions = positions
	r.count.Store(int64(len(rows)))
	return added
}

// setIgnored replaces the ignored rows of a table and logs each revision of a row once.
func (e *Entry) setIgnored(tableName string, rows []platform.RowError, level zapcore.Level, message string) {
	for _, row := range e.tables[tableName].ignored.update(rows) {
		e.log.Log(level, message, zap.String("row", row.Key), zap.Int64("revision", row.Revision), zap.Error(row.Err))
	}
}
