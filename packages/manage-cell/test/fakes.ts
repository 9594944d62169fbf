import { manageCell } from '@laburnumshift/manage-cell';
import type { CellHome, CellOptions } from '@laburnumshift/manage-cell';
import type {
  BackendServer,
  CacheDirectory,
  CacheEvent,
  EngineClient,
  EngineLoad,
  PeerError,
  EnginePlacementRequest,
  PoolConfig,
  RetentionPlanner,
  RunReport,
  StoreClient,
  StoredPiece,
} from '@laburnumshift/types';

/** Fake engine. Tests set its load report or the error of load reads, and push cache events. */
export class FakeEngine {
  load: EngineLoad;
  error: PeerError | undefined;
  pieces: { scope: string; chain: string }[] = [];
  listCalls = 0;
  exported: string[] = [];
  private readonly waiting: ((event: CacheEvent | undefined) => void)[] = [];

  constructor(slots: number) {
    this.load = {
      boot_id: 'boot-1',
      at: 0,
      weight_version: 'v1',
      adapters: [],
      role: 'any',
      leaving: false,
      loading: false,
      running: 0,
      queued_tokens: 0,
      running_tokens: 0,
      slots,
      other_share: 0,
      last_fencing: 0,
    };
  }

  /** Ends the open event streams, as a client does after an idle timeout. */
  closeEvents(): void {
    for (const resolve of this.waiting.splice(0)) resolve(undefined);
  }

  pushEvent(event: CacheEvent): void {
    for (const resolve of this.waiting.splice(0)) resolve(event);
  }

  createClient(): EngineClient {
    const waiting = this.waiting;
    return {
      streamCompletion: () => {
        throw new Error('not used');
      },
      cancelRun: () => Promise.resolve(),
      watchEvents: async function* () {
        for (;;) {
          const event = await new Promise<CacheEvent | undefined>((resolve) => waiting.push(resolve));
          if (event === undefined) return;
          yield event;
        }
      },
      listPieces: () => {
        this.listCalls += 1;
        return Promise.resolve({ ok: true, value: { seq: 0, pieces: this.pieces } });
      },
      readLoad: () =>
        Promise.resolve(this.error ? { ok: false, error: this.error } : { ok: true, value: this.load }),
      exportPiece: (_scope, chain) => {
        this.exported.push(chain);
        return Promise.resolve({ ok: true, value: { length: 1, checksum: 'x', generation: 1 } });
      },
      sendOrder: () => Promise.resolve({ kind: 'accepted' }),
      close: () => undefined,
    };
  }
}

/** Fake store that holds pieces and records pins. */
export class FakeStore {
  pinned: string[] = [];
  failing = false;
  linkQueuedBytes = 0;
  listCalls = 0;
  private unblocked: Promise<void> = Promise.resolve();
  constructor(readonly pieces: StoredPiece[]) {}

  /** Delays the replies to list calls until the returned function is called. */
  holdLists(): () => void {
    let release: () => void = () => undefined;
    this.unblocked = new Promise((resolve) => {
      release = resolve;
    });
    return release;
  }

  createClient(): StoreClient {
    const fail = { ok: false, error: { kind: 'unreachable', detail: '', sent: false } } as const;
    const notFound = { ok: false, error: { kind: 'rejected', status: 404, detail: '', sent: true } } as const;
    const stat = { memoryBytes: 1e9, memoryUsed: 0, diskBytes: 1e9, diskUsed: 0, otherShare: 0 };
    return {
      readStat: () => {
        const memoryUsed = this.pieces.reduce((sum, { bytes }) => sum + bytes, 0);
        const value = { ...stat, memoryUsed, linkBytesPerSecond: 1e8, linkQueuedBytes: this.linkQueuedBytes };
        return Promise.resolve(this.failing ? fail : { ok: true, value });
      },
      listPieces: async () => {
        this.listCalls += 1;
        const value = [...this.pieces];
        await this.unblocked;
        return { ok: true, value };
      },
      pinPiece: (_scope, chain) => {
        const piece = this.pieces.find((candidate) => candidate.chain === chain);
        if (piece !== undefined) this.pinned.push(chain);
        return Promise.resolve(piece === undefined ? notFound : { ok: true, value: piece });
      },
      unpinPiece: (_scope, chain) => {
        this.pinned = this.pinned.filter((pinned) => pinned !== chain);
        return Promise.resolve();
      },
      movePiece: () => Promise.resolve(notFound),
      deletePiece: () => Promise.resolve({ ok: true, value: true }),
      close: () => undefined,
    };
  }
}

/** Creates an in-memory directory. An event whose sequence number is not the next one is a gap. */
export function createDirectory(): CacheDirectory {
  const engines = new Map<string, { seq: number; keys: Set<string> }>();
  let stored: StoredPiece[] = [];
  const isSame = (piece: StoredPiece, store: string, scope: string, chain: string): boolean =>
    piece.store === store && piece.scope === scope && piece.chain === chain;
  return {
    applyEvent: (engine, event) => {
      const entry = engines.get(engine);
      if (entry === undefined || event.seq > entry.seq + 1) return 'gap';
      entry.seq = event.seq;
      entry.keys.add(`${event.scope}:${event.chain}`);
      return 'applied';
    },
    replaceEngine: (engine, seq, pieces) => {
      engines.set(engine, { seq, keys: new Set(pieces.map((piece) => `${piece.scope}:${piece.chain}`)) });
    },
    removeEngine: (engine) => engines.delete(engine),
    recordRunPieces: (engine, scope, pieces) => {
      for (const piece of pieces) engines.get(engine)?.keys.add(`${scope}:${piece.chain}`);
    },
    countCachedPrefix: (scope, pieces) => {
      const counts = new Map<string, number>();
      for (const [engine, { keys }] of engines) {
        const missing = pieces.findIndex((piece) => !keys.has(`${scope}:${piece.chain}`));
        if (missing !== 0) counts.set(engine, missing < 0 ? pieces.length : missing);
      }
      return counts;
    },
    replaceStore: (store, pieces) => {
      stored = [...stored.filter((piece) => piece.store !== store), ...pieces];
    },
    recordStoredPiece: (piece) => stored.push(piece),
    removeStoredPiece: (store, scope, chain) => {
      stored = stored.filter((piece) => !isSame(piece, store, scope, chain));
    },
    removeStore: (store) => {
      stored = stored.filter((piece) => piece.store !== store);
    },
    listStoredPieces: (store) => stored.filter((piece) => piece.store === store),
    findStoredCopies: (scope, chain) =>
      stored.filter((piece) => piece.scope === scope && piece.chain === chain),
    getCounts: () => ({ stored: stored.length }),
  };
}

const planner: RetentionPlanner = {
  recordUse: () => undefined,
  planExports: (report) =>
    report.pieces.map(({ chain }) => ({
      engine: report.engine,
      store: 's',
      tier: 'memory',
      scope: report.cacheScope,
      chain,
      bytes: 1e6,
      value: 1,
    })),
  planChanges: () => [],
};

/** Starts the home of a cell with engines `e0`, `e1`, ... of two slots, and at most one store, `s`. */
export function createCell(change: {
  readonly engines: readonly FakeEngine[];
  readonly store?: FakeStore;
  readonly pool?: Partial<PoolConfig>;
  readonly options?: Partial<CellOptions>;
}): CellHome {
  const servers = change.engines.map((_, index): BackendServer => ({
    name: `e${String(index)}`,
    url: `http://e${String(index)}`,
    failureDomain: 'd',
    checksFencing: true,
    slots: 2,
    prefillTokensPerSecond: 10_000,
    decodeTokensPerSecond: 50,
  }));
  const host = { name: 's', url: 'http://s', failureDomain: 'd', memoryBytes: 1e9, diskBytes: 1e9 };
  const pool: PoolConfig = {
    name: 'pool',
    kind: 'model',
    servers,
    stores: change.store ? [{ ...host, linkBytesPerSecond: 1e8, diskBytesPerSecond: 1e8 }] : [],
    adapters: [],
    pieceTokens: 2000,
    pieceBytes: 1e6,
    urgentSlots: 0,
    ...change.pool,
  };
  const drop = (): void => undefined;
  return manageCell({
    pool,
    cell: 0,
    servers,
    createEngineClient: (server) =>
      (change.engines[servers.indexOf(server)] ?? new FakeEngine(0)).createClient(),
    createStoreClient: () => (change.store ?? new FakeStore([])).createClient(),
    directory: createDirectory(),
    planner,
    isSuspect: () => false,
    onEngineCrash: () => undefined,
    logger: { debug: drop, info: drop, warn: drop, error: drop, setLevel: drop },
    ...change.options,
  });
}

let requestCount = 0;

/** Creates a request of four pieces with a new id and fingerprint. */
export function createRequest(change: Partial<EnginePlacementRequest> = {}): EnginePlacementRequest {
  requestCount += 1;
  return {
    requestId: `r${String(requestCount)}`,
    account: 'a',
    accountWeight: 1,
    service: 'quotes',
    pool: 'pool',
    cell: 0,
    priority: 'normal',
    fingerprint: `f${String(requestCount)}`,
    suspect: false,
    model: 'm',
    pieces: [0, 1, 2, 3].map((index) => ({ chain: `c${String(index)}`, tokens: 2000 })),
    maxTokens: 50,
    remainingMs: 60_000,
    waitMs: 20,
    weights: { perMs: 1, perKiloTokenRecomputed: 1, perMebibyteMoved: 0.1 },
    exclude: [],
    ...change,
  };
}

/** Creates the report of a finished run. */
export function createReport(request: EnginePlacementRequest, engine: string): RunReport {
  return {
    requestId: request.requestId,
    pool: 'pool',
    cell: 0,
    engine,
    fingerprint: request.fingerprint,
    result: 'finished',
    firstTokenMs: 800,
    estimateMs: 800,
    weightVersion: 'v1',
    cacheScope: 'scope',
    service: request.service,
    account: request.account,
    pieces: request.pieces,
    cachedPieces: 0,
    importedPieces: 0,
    computedTokens: 8000,
    outputTokens: 50,
  };
}
