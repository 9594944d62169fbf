import type {
  Config,
  EngineClient,
  EngineRequest,
  EngineStreamItem,
  PeerError,
  EnginePlacementRequest,
  Quarantine,
  RunEnd,
} from '@laburnumshift/types';
import { createRetryBudget } from '@laburnumshift/limit-retries';
import { type CompletionDependencies, runCompletion } from '@laburnumshift/run-completion';

/** One item of a scripted stream: a token by its offset, a token with changed fields, the end, a crash, or an error. */
export type Step =
  | number
  | 'done'
  | 'crash'
  | { readonly offset: number; readonly id?: string; readonly version?: string; readonly text?: string }
  | { readonly error: PeerError };

export const SILENT: Step = { error: { kind: 'silent', detail: 'no bytes', sent: true } };
export const BROKEN: Step = { error: { kind: 'broken', detail: 'reset', sent: true } };
export const LEAVING: Step = { error: { kind: 'leaving', detail: '503', sent: true } };
export const UNREACHABLE: Step = { error: { kind: 'unreachable', detail: 'no route', sent: false } };

const MAX_TOKENS = 6;
export const ALL_TEXTS = ['t0', 't1', 't2', 't3', 't4', 't5'];

/** An engine that follows one script per stream. Without a script it sends all tokens from the resume offset. */
class ScriptedEngine {
  version = 'v1';
  bootId = 'boot-1';
  isRefusing = false;
  readonly requests: EngineRequest[] = [];
  readonly cancelled: string[] = [];
  constructor(readonly scripts: (readonly Step[])[]) {}

  readLoad(): ReturnType<EngineClient['readLoad']> {
    if (this.isRefusing) {
      const error = { kind: 'unreachable' as const, detail: 'connect ECONNREFUSED', sent: false };
      return Promise.resolve({ ok: false, error });
    }
    return Promise.resolve({ ok: true, value: { boot_id: this.bootId } as never });
  }

  async *streamCompletion(request: EngineRequest): AsyncGenerator<EngineStreamItem> {
    this.requests.push(request);
    await Promise.resolve();
    if (request.weight_version !== this.version) {
      yield { kind: 'error', error: { kind: 'version-mismatch', actual: this.version, sent: true } };
      return;
    }
    const left = MAX_TOKENS - request.resume_offset;
    const allOffsets = Array.from({ length: left }, (_, i) => request.resume_offset + i);
    for (const step of this.scripts.shift() ?? [...allOffsets, 'done' as const]) {
      if (step === 'done') yield { kind: 'done' };
      else if (step === 'crash') {
        this.isRefusing = true;
        yield { kind: 'error', error: { kind: 'broken', detail: 'reset', sent: true } };
      } else if (typeof step === 'object' && 'error' in step) yield { kind: 'error', error: step.error };
      else yield this.buildToken(request.request_id, typeof step === 'number' ? { offset: step } : step);
    }
  }

  buildToken(id: string, step: Exclude<Step, number | string | { error: PeerError }>): EngineStreamItem {
    const token = {
      id: step.id ?? id,
      weight_version: step.version ?? this.version,
      offset: step.offset,
      text: step.text ?? `t${String(step.offset)}`,
      cached_pieces: 0,
      imported_pieces: 0,
      computed_tokens: 1,
      finish_reason: step.offset + 1 === MAX_TOKENS ? ('stop' as const) : null,
    };
    return { kind: 'token', token, bootId: this.bootId };
  }
}

/**
 * Simulates a pool of scripted engines. A placement grants the first engine that is not excluded and runs the version.
 */
export function simulateCluster(scripts: Readonly<Record<string, (readonly Step[])[]>>) {
  const engines = new Map(Object.entries(scripts).map(([name, list]) => [name, new ScriptedEngine(list)]));
  const placed: EnginePlacementRequest[] = [];
  const crashes: string[] = [];
  const traces: string[] = [];
  const reports: string[] = [];
  const retry = { ratio: 1, minPerSecond: 10, maxAttempts: 3 };
  const service = { name: 's', kind: 'model', priority: 'normal', idempotent: true, accounts: '*' };
  const weights = { perMs: 1, perKiloTokenRecomputed: 1, perMebibyteMoved: 1 };
  const config = {
    services: {
      s: { ...service, model: 'm', deadlineMs: 1_000, weights, retry },
      moving: {
        ...service,
        name: 'moving',
        cutover: { olderUrl: 'o', olderShare: 1 },
        deadlineMs: 1_000,
        weights,
        retry,
      },
    },
    pools: { p: { name: 'p', kind: 'model', servers: [], pieceTokens: 2_000, model: 'm' } },
    routes: ['s', 'moving'].map((name) => ({ name, order: 0, service: name, pool: 'p' })),
  } as unknown as Config;
  const quarantine: Quarantine = {
    checkRequest: () => Promise.resolve({ kind: crashes.length > 0 ? 'isolate' : 'clean' }),
    reportCrash: (_fingerprint, engine) => Promise.resolve(void crashes.push(engine)),
    reportFinish: () => undefined,
    releaseRequest: () => undefined,
    isConvicted: () => false,
    close: () => undefined,
  };
  /** Weight version that the home node assumes of each engine, by engine name. */
  const assumedVersions = new Map([...engines.keys()].map((name) => [name, 'v1']));
  const deps: CompletionDependencies = {
    getConfig: () => config,
    place: (request) => {
      placed.push(request);
      const found = [...assumedVersions].find(
        ([name, version]) =>
          !request.exclude.includes(name) && (request.weightVersion ?? version) === version,
      );
      if (found === undefined) {
        return Promise.resolve({ kind: 'refused', code: 'no_engine', retryAfterMs: 500 });
      }
      const [engine, weightVersion] = found;
      const imports = [{ index: 0, chain: 'c', url: '', key: '', generation: 1, length: 1, checksum: '' }];
      const grant = { engine, url: '', weightVersion, cacheScope: weightVersion, cachedPieces: 0 };
      return Promise.resolve({
        kind: 'granted',
        grant: { ...grant, headPieces: 0, imports, estimateMs: 100, candidates: [] },
      });
    },
    rankCells: () => [0],
    getEngineClient: (name) => {
      const engine = engines.get(name);
      if (engine === undefined) throw new Error(`no engine ${name}`);
      return {
        streamCompletion: (request: EngineRequest) => engine.streamCompletion(request),
        cancelRun: (id: string) => Promise.resolve(void engine.cancelled.push(id)),
        readLoad: () => engine.readLoad(),
      } as unknown as EngineClient;
    },
    reportRun: (report) => reports.push(`${report.engine} ${report.result}`),
    reportEngineFailure: () => undefined,
    quarantine,
    retryBudget: createRetryBudget({ seed: 1, baseDelayMs: 1 }),
    bootIds: new Map(),
    recordTrace: (_request, step) => traces.push(step),
  };
  const runRequest = async (changes: Partial<CompletionDependencies> = {}, aborted = false, name = 's') => {
    const texts: string[] = [];
    const limits = { requestsPerSecond: 1, tokensPerSecond: 1, concurrent: 1 };
    const account = { name: 'a', keys: [], weight: 1, limits, storeBytes: 0 };
    const request = { requestId: 'r1', account, service: name, prompt: 'hello', maxTokens: MAX_TOKENS };
    const end: RunEnd = await runCompletion(
      { ...request, startOffset: 0, acceptedAtMs: performance.now() },
      { ...deps, ...changes },
      (text) => texts.push(text),
      aborted ? AbortSignal.abort() : new AbortController().signal,
    );
    return { texts, end };
  };
  return { engines, assumedVersions, placed, crashes, traces, reports, deps, runRequest };
}
