import { readMonotonicMs } from '@laburnumshift/clock';
import type { BackendEntry } from '@laburnumshift/forward-types';
import type { RoomForecast } from '@laburnumshift/limit-server-rates';
import type { ChoiceDeps } from './choice-deps.js';
import { RULED_OUT_REASONS } from './ruled-out-reasons.js';

/** Servers that take a call of this host now, and when the others do. */
interface RoomGroups {
  readonly warm: readonly BackendEntry[];
  readonly cold: readonly BackendEntry[];
  /** Estimates when the servers without room take calls. */
  readonly estimateRoom: () => RoomForecast;
}

const NO_ROOM: RoomForecast = { firstMs: Infinity, perCallMs: Infinity };

const mergeForecasts = (a: RoomForecast, b: RoomForecast): RoomForecast => ({
  firstMs: Math.min(a.firstMs, b.firstMs),
  perCallMs: 1 / (1 / a.perCallMs + 1 / b.perCallMs),
});

/**
 * Finds the servers that are below the limits that they state and, while they are cold, below the rate that a cold server sustains.
 *
 * @param coldPerS rate of calls that a cold server sustains; `undefined` when servers of the service are never cold
 */
export function splitByRoom(
  { limits, coldLimits, trace }: Pick<ChoiceDeps, 'limits' | 'coldLimits' | 'trace'>,
  servers: readonly BackendEntry[],
  coldPerS: number | undefined,
): RoomGroups {
  const limited = new Set(servers.filter((server) => !limits.hasRoom(server)));
  const open = servers.filter((server) => !limited.has(server));
  trace?.recordRuledOut([...limited], RULED_OUT_REASONS.limited);
  if (coldPerS === undefined)
    return { warm: open, cold: [], estimateRoom: () => limits.estimateRoom([...limited]) };
  const now = readMonotonicMs();
  const isCold = ({ coldUntilMs }: BackendEntry): boolean => coldUntilMs !== undefined && coldUntilMs > now;
  const cold = open.filter(isCold);
  const sendable = cold.filter((server) => coldLimits.hasRoom(server, coldPerS));
  trace?.recordRuledOut(
    cold.filter((server) => !sendable.includes(server)),
    RULED_OUT_REASONS.coldFull,
  );
  return {
    warm: open.filter((server) => !isCold(server)),
    cold: sendable,
    estimateRoom: () =>
      mergeForecasts(
        limited.size > 0 ? limits.estimateRoom([...limited]) : NO_ROOM,
        cold.length > 0 ? coldLimits.estimateRoom(cold, coldPerS) : NO_ROOM,
      ),
  };
}
