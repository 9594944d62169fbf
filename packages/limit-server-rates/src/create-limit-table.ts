import { readMonotonicMs } from '@laburnumshift/clock';
import type { LimitStatement } from './limit-statement.js';
import type { LimitTable } from './limit-table.js';

/** Most servers recorded; beyond that the one that stated its limit longest ago is removed. */
const MAX_SERVERS = 4000;

/** Creates an empty table. Servers that never stated a limit are not recorded. */
export function createLimitTable(): LimitTable {
  const entries = new Map<string, { readonly statement: LimitStatement; readonly changedMs: number }>();
  const listLimited = (): LimitStatement[] =>
    [...entries.values()].flatMap(({ statement }) => (statement.limitPerS === undefined ? [] : [statement]));
  return {
    addStatement: (statement) => {
      const { server, limitPerS, atMs } = statement;
      const known = entries.get(server.id);
      if (known === undefined && limitPerS === undefined) return false;
      if (known !== undefined && known.statement.server.bornMs > server.bornMs) return false;
      const isSameProcess = known?.statement.server.bornMs === server.bornMs;
      if (isSameProcess && known.statement.atMs >= atMs) return false;
      const isChanged = !isSameProcess || known.statement.limitPerS !== limitPerS;
      entries.delete(server.id);
      entries.set(server.id, { statement, changedMs: isChanged ? readMonotonicMs() : known.changedMs });
      const [oldest] = entries.size > MAX_SERVERS ? entries.keys() : [];
      if (oldest !== undefined) entries.delete(oldest);
      return isChanged;
    },
    getLimit: ({ id, bornMs }) => {
      const statement = entries.get(id)?.statement;
      return statement?.server.bornMs === bornMs ? statement.limitPerS : undefined;
    },
    listRecent: (maxAgeMs, maxChangeAgeMs) => {
      const now = readMonotonicMs();
      return [...entries.values()]
        .filter(
          ({ statement, changedMs }) => now - statement.atMs <= maxAgeMs && now - changedMs <= maxChangeAgeMs,
        )
        .map(({ statement }) => statement)
        .sort((a, b) => b.atMs - a.atMs);
    },
    listLimitedServices: () => [...new Set(listLimited().map(({ server }) => server.service))],
    removeServer: (id) => {
      entries.delete(id);
    },
    countLimited: () => listLimited().length,
  };
}
