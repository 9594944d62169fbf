import type { PlatformEvent } from '@laburnumshift/types';
import type { QuarantineTables } from './quarantine-tables.js';

/**
 * Applies changes of the stored copies of one kind on the platform. A null value stands for a deletion. It removes a conviction, and a
 * suspect whose stored version is known and not newer. Values of another shape are ignored.
 */
export function applyPlatformEvents(
  tables: QuarantineTables,
  kind: 'suspect' | 'conviction',
  events: readonly PlatformEvent[],
): void {
  for (const { name, version, value } of events) {
    const fields = (typeof value === 'object' ? value : null) as Readonly<Record<string, unknown>> | null;
    const { engine, pool, atMs, untilMs } = fields ?? {};
    const known = tables.suspects.get(name);
    if (kind === 'conviction') {
      if (typeof untilMs === 'number') tables.convictions.set(name, { untilMs, version });
      else if (value === null) tables.convictions.delete(name);
    } else if (typeof engine === 'string' && typeof pool === 'string' && typeof atMs === 'number') {
      if (known) known.version = version;
      else tables.suspects.set(name, { notice: { fingerprint: name, engine, pool, atMs }, version });
    } else if (value === null && known?.version !== undefined && known.version <= version) {
      // A suspect without a stored version was reported by messages only and is newer than this deletion. It is cleared by a message.
      tables.suspects.delete(name);
    }
  }
}
