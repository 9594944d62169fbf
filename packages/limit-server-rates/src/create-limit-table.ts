import { readMonotonicMs } from '@laburnumshift/clock';
import type { LimitStatement } from './limit-statement.js';
import type { LimitTable } from './limit-table.js';

/** Most servers recorded; beyond that the one that stated its limit longest ago is removed. */
const MAX_SERVERS = 4000;

/** Creates an empty table. Servers that never stated a limit are not recorded. */
export function createLimitTable(): LimitTable {
  const statements = new Map<string, LimitStatement>();
  const listLimited = (): LimitStatement[] =>
    [...statements.values()].filter(({ limitPerS }) => limitPerS !== undefined);
  return {
    addStatement: (statement) => {
      const { server, limitPerS, atMs } = statement;
      const known = statements.get(server.id);
      if (known === undefined && limitPerS === undefined) return false;
      if (known !== undefined && known.server.bornMs > server.bornMs) return false;
      const isSameProcess = known?.server.bornMs === server.bornMs;
      if (isSameProcess && known.atMs >= atMs) return false;
      statements.delete(server.id);
      statements.set(server.id, statement);
      const [oldest] = statements.size > MAX_SERVERS ? statements.keys() : [];
      if (oldest !== undefined) statements.delete(oldest);
      return !isSameProcess || known.limitPerS !== limitPerS;
    },
    getLimit: ({ id, bornMs }) => {
      const known = statements.get(id);
      return known?.server.bornMs === bornMs ? known.limitPerS : undefined;
    },
    listRecent: (maxAgeMs) => {
      const since = readMonotonicMs() - maxAgeMs;
      return [...statements.values()].filter(({ atMs }) => atMs >= since).sort((a, b) => b.atMs - a.atMs);
    },
    listLimitedServices: () => [...new Set(listLimited().map(({ server }) => server.service))],
    removeServer: (id) => {
      statements.delete(id);
    },
    countLimited: () => listLimited().length,
  };
}
