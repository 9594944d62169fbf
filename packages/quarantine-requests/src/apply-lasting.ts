import type { PlatformEvent } from '@laburnumshift/types';
import type { SuspectTables } from './suspect-tables.js';

/** Applies changes of the lasting copies of one kind. A null value removes what came from the platform only. */
export function applyLasting(
  tables: SuspectTables,
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
      // A suspect that only messages told of is newer than this deletion; its clearing comes as a message too.
      tables.suspects.delete(name);
    }
  }
}
