import { randomUUID } from 'node:crypto';
import http from 'node:http';
import { computeElapsedMs, readMoment, readMonotonicMs, runEvery } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { applyChange, readCacheEvents, type ReadChange } from '@laburnumshift/read-cache-events';
import { createChangeLog } from './create-change-log.js';
import { createRepeatFilter } from './create-repeat-filter.js';
import { decodeChanges } from './decode-changes.js';
import { encodeChanges } from './encode-changes.js';
import { readChanges } from './read-changes.js';
import type { EventsRelay } from './events-relay.js';
import type { RelayOptions } from './relay-options.js';
import type { RelayPage } from './relay-page.js';
import { serveChanges } from './serve-changes.js';

/** Distance of two reads of a relay, milliseconds: about the pause between reads of a store. */
const POLL_MS = 400;
/** A host reads itself for so long after another one asked it, milliseconds. */
const ASKED_MS = 5000;
/** What a relay told is not trusted after this time, milliseconds; the host then reads itself. */
const STALE_MS = 3000;

interface Source {
  readonly address: string;
  readonly pauseMs: number;
}

/**
 * Creates a reader of cache events that is shared among hosts, with the platform objects that they follow. Positions in the
 * log of a relay are valid in one life of it; with another life or a gap, a page holds all pieces that two places have.
 */
export async function createEventsRelay(options: RelayOptions): Promise<EventsRelay> {
  const { board, getUpstream, objects } = options;
  const logger = createLogger('relay');
  const life = randomUUID();
  const log = createChangeLog();
  const filter = createRepeatFilter();
  const direct = readCacheEvents({
    control: options.control,
    board,
    onChange: (change) => {
      for (const passed of filter.filterChange(change)) log.addChange(passed);
    },
  });
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  const sources = new Map<string, Source>();
  let isDirect = false;
  let askedMs = -Infinity;
  /** What the relay that is followed told last. */
  let told:
    { readonly page: RelayPage; readonly bootIds: Map<string, string>; readonly atMs: number } | undefined;
  let followed: string | undefined;
  let followedSinceMs = 0;
  /** The last read of the relay failed. */
  let isLost = false;

  const listAll = (): ReadChange[] =>
    [...sources.keys()].flatMap((engine) => {
      const bootId = direct.getBootId(engine);
      if (bootId === undefined) return [];
      const pieces = board.getPieces(engine);
      const events = pieces
        .listPieces(() => true)
        .filter(({ scope, piece }) => filter.isRepeated(scope, piece))
        .map((piece) => ({ ...piece, isAdded: true, tokens: pieces.getTokens(piece.scope, piece.piece) }));
      return [{ engine, bootId, isCleared: true, events }];
    });
  const readObjects = (kind: string, after: number): RelayPage['objects'][string] => {
    const known = options.readObjects(kind, after);
    if (known === undefined) return null;
    const { changes, recoveredMs, ageMs, ...rest } = known;
    if (!Number.isFinite(ageMs)) return null;
    return {
      ...rest,
      changes: [...changes],
      ageMs,
      recoveredMs: Number.isFinite(recoveredMs) ? recoveredMs : null,
    };
  };
  const buildPage = (
    knownLife: string,
    since: number,
    wanted: readonly (readonly [string, number])[],
  ): RelayPage => {
    askedMs = readMonotonicMs();
    const changes = (knownLife === life ? log.listSince(since) : undefined) ?? listAll();
    return {
      life,
      next: log.getNext(),
      clockMs: direct.readClockMs() ?? null,
      reading: [...sources.keys()].filter(direct.isReading),
      ...encodeChanges(changes),
      objects: Object.fromEntries(wanted.map(([kind, after]) => [kind, readObjects(kind, after)])),
    };
  };
  const applyPage = (page: RelayPage, changes: readonly ReadChange[]): void => {
    const bootIds = told?.page.life === page.life ? told.bootIds : new Map<string, string>();
    for (const change of changes) {
      bootIds.set(change.engine, change.bootId);
      applyChange(board.getPieces(change.engine), change);
    }
    told = { page, bootIds, atMs: readMonotonicMs() };
  };
  const isAsked = (): boolean => readMonotonicMs() - askedMs < ASKED_MS;
  const isTold = (): boolean => told !== undefined && readMonotonicMs() - told.atMs < STALE_MS;
  const setDirect = (value: boolean, reason: string): void => {
    if (value === isDirect) return;
    isDirect = value;
    logger.info(value ? 'reading engines' : 'following a relay', { reason, sources: sources.size, followed });
    for (const [engine, { address, pauseMs }] of sources) {
      if (value) direct.startReading(engine, address, pauseMs);
      else direct.stopReading(engine);
    }
  };
  const pollOnce = async (): Promise<void> => {
    const upstream = getUpstream();
    if (upstream !== followed) {
      followed = upstream;
      followedSinceMs = readMonotonicMs();
    }
    if (isAsked()) setDirect(true, 'asked by other hosts');
    else if (upstream === undefined) setDirect(true, 'no relay before this host');
    else if (!isTold() && readMonotonicMs() - followedSinceMs > STALE_MS)
      setDirect(true, 'relay does not answer');
    if (upstream === undefined || isAsked()) {
      objects.stopFollowing('this host reads itself');
      return;
    }
    const sent = readMoment();
    const position = [told?.page.life ?? '', told?.page.next ?? 0] as const;
    const page = await readChanges(agent, upstream, ...position, objects.listWanted());
    const changes = typeof page === 'string' ? undefined : decodeChanges(page);
    if (typeof page === 'string' || changes === undefined) {
      objects.stopFollowing('no page from the relay');
      const reason = typeof page === 'string' ? page : 'the parts of the page do not fit together';
      if (!isLost) logger.warn('no page from the relay', { upstream, reason });
      isLost = true;
      return;
    }
    if (isLost) logger.info('relay answers again', { upstream });
    isLost = false;
    if (isAsked()) return;
    setDirect(false, 'relay answers');
    applyPage(page, changes);
    const answers = Object.entries(page.objects).map(([kind, known]) => {
      const recoveredMs = known?.recoveredMs ?? Infinity;
      return [kind, known === null ? undefined : { ...known, recoveredMs }] as const;
    });
    objects.applyAnswers(new Map(answers), computeElapsedMs(sent));
  };
  const server = await serveChanges(options.address, buildPage);
  const stopFollowing = runEvery(POLL_MS, pollOnce, (error) => {
    logger.error('following failed', { detail: String(error) });
  });

  return {
    startReading: (engine, address, pauseMs) => {
      if (sources.has(engine)) return;
      sources.set(engine, { address, pauseMs });
      if (isDirect) direct.startReading(engine, address, pauseMs);
    },
    stopReading: (engine) => {
      sources.delete(engine);
      direct.stopReading(engine);
    },
    isReading: (engine) =>
      isDirect ? direct.isReading(engine) : isTold() && told?.page.reading.includes(engine) === true,
    getBootId: (engine) => (isDirect ? direct.getBootId(engine) : told?.bootIds.get(engine)),
    readClockMs: () => {
      if (isDirect || told === undefined) return direct.readClockMs();
      const { page, atMs } = told;
      return page.clockMs === null ? undefined : page.clockMs + readMonotonicMs() - atMs;
    },
    isAsked,
    close: () => {
      stopFollowing();
      direct.close();
      server.close();
      server.closeAllConnections();
      agent.destroy();
    },
  };
}
