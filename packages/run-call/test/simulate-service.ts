import type {
  CallResponse,
  CallJournal,
  Config,
  JournalDecision,
  OlderSystemClient,
  PeerError,
  Result,
  ServiceClient,
  ServingSystem,
} from '@laburnumshift/types';
import { createRetryBudget } from '@laburnumshift/limit-retries';
import { sleep } from '@laburnumshift/clock';
import { type CallDependencies, type AcceptedCall, runCall } from '@laburnumshift/run-call';

/** How a server handles its next call; `lost` runs it and loses the answer, `slow` answers after the deadline. */
export type ServerBehaviour = 'answer' | 'lost' | 'unsent' | 'leaving' | 'silent' | 'slow';

const ERRORS: Readonly<Record<'lost' | 'unsent' | 'leaving' | 'silent', PeerError>> = {
  lost: { kind: 'broken', detail: 'reset', sent: true },
  unsent: { kind: 'unreachable', detail: 'refused', sent: false },
  leaving: { kind: 'leaving', detail: '503', sent: true },
  silent: { kind: 'silent', detail: 'no bytes', sent: true },
};
export const KEY = '018bcfe5-6800-7000-8000-000000000001';
/** Timestamp inside KEY, milliseconds since the epoch; the fake clock starts there. */
export const KEY_TIME_MS = 1_700_000_000_000;
export const DEADLINE_MS = 1_000;

/** Creates a journal that keeps its records in memory and decides as section 6.2 of the design page specifies. */
export function createMemoryJournal(): CallJournal & { fault?: 'begin' | 'finish' | undefined } {
  interface Entry {
    attemptId: string;
    bodyHash: string;
    system: ServingSystem;
    answer?: CallResponse;
    lost?: boolean;
  }
  const entries = new Map<string, Entry>();
  const journal: CallJournal & { fault?: 'begin' | 'finish' | undefined } = {
    beginCall: (begin): Promise<JournalDecision> => {
      const name = JSON.stringify([begin.account, begin.service, begin.key]);
      if (journal.fault === 'begin') {
        return Promise.resolve({ kind: 'unavailable', detail: 'down', seen: entries.has(name) });
      }
      const entry = entries.get(name);
      if (entry === undefined) {
        const { attemptId, bodyHash, system } = begin;
        entries.set(name, { attemptId, bodyHash, system });
        return Promise.resolve({ kind: 'run', attemptId, system });
      }
      if (entry.bodyHash !== begin.bodyHash) return Promise.resolve({ kind: 'body-differs' });
      return Promise.resolve(toDecision(entry));
    },
    finishCall: (finish) => {
      if (journal.fault === 'finish') return Promise.resolve(false);
      const entry = entries.get(JSON.stringify([finish.account, finish.service, finish.key]));
      if (entry?.attemptId !== finish.attemptId) return Promise.resolve(false);
      entry.answer = finish.answer;
      return Promise.resolve(true);
    },
    abandonCall: (abandon) =>
      Promise.resolve(entries.delete(JSON.stringify([abandon.account, abandon.service, abandon.key]))),
    markUnknown: (abandon) => {
      const entry = entries.get(JSON.stringify([abandon.account, abandon.service, abandon.key]));
      if (entry) entry.lost = true;
      return Promise.resolve(true);
    },
    findCall: (look) => {
      const entry = entries.get(JSON.stringify([look.account, look.service, look.key]));
      return Promise.resolve(entry ? toDecision(entry) : { kind: 'absent' });
    },
    close: () => Promise.resolve(),
  };
  const toDecision = (entry: Entry): JournalDecision => {
    if (entry.answer) return { kind: 'finished', answer: entry.answer, system: entry.system };
    return entry.lost ? { kind: 'unknown', detail: '' } : { kind: 'in-progress', retryAfterMs: 100 };
  };
  return journal;
}

/** Simulates three servers that take their behaviours from a common list and count how often the call ran. */
export function simulateService(behaviours: ServerBehaviour[], idempotent: boolean, cutover?: ServingSystem) {
  const counts = { ran: 0, older: 0, dispatched: [] as string[], unproven: 0, olderKeys: [] as unknown[] };
  const unusable = new Set<string>();
  const journal = createMemoryJournal();
  const olderAnswers = new Map<string, CallResponse>();
  const servers = ['a', 'b', 'c'].map((name) => ({ name, url: name }));
  const retry = { ratio: 1, minPerSecond: 10, maxAttempts: 3 };
  const older = { olderUrl: 'older', olderShare: 0.5 };
  const service = { name: 's', kind: 'plain', idempotent, accounts: '*', deadlineMs: DEADLINE_MS, retry };
  const config = {
    services: { s: { ...service, cutover: cutover && older } },
    pools: { p: { name: 'p', kind: 'plain', servers } },
    routes: [{ name: 'r', order: 0, service: 's', pool: 'p' }],
  } as unknown as Config;
  const sendCall = async (
    name: string,
    mustCheckConnection: boolean,
  ): Promise<Result<CallResponse, PeerError>> => {
    counts.dispatched.push(name);
    if (!mustCheckConnection) counts.unproven += 1;
    const behaviour = behaviours.shift() ?? 'answer';
    if (behaviour === 'slow') await sleep(2 * DEADLINE_MS);
    if (behaviour === 'answer' || behaviour === 'lost' || behaviour === 'slow') counts.ran += 1;
    if (behaviour !== 'answer' && behaviour !== 'slow') return { ok: false, error: ERRORS[behaviour] };
    return { ok: true, value: { status: 200, headers: {}, body: `run ${String(counts.ran)}` } };
  };
  const deps: CallDependencies = {
    getConfig: () => config,
    getServiceClient: (name) =>
      ({
        sendCall: (_call, _ms, mustCheckConnection) => sendCall(name, mustCheckConnection),
      }) as Partial<ServiceClient> as ServiceClient,
    isServerUsable: (name) => !unusable.has(name),
    getQueueLength: () => 0,
    reportServerState: (name) => unusable.add(name),
    journal,
    getSelf: () => ({ host: 'n1', incarnation: 1, failureDomain: 'd', address: 'n1' }),
    retentionMs: 7_200_000,
    retryBudget: createRetryBudget({ seed: 1, baseDelayMs: 1 }),
    recordTrace: () => undefined,
    chooseSystem: () => cutover ?? 'own',
    getOlderSystem: () =>
      ({
        sendCall: (call) => {
          counts.older += 1;
          counts.olderKeys.push(call.headers['idempotency-key']);
          return Promise.resolve({ ok: true, value: { status: 200, headers: {}, body: 'older' } });
        },
        findOutcome: (key) => Promise.resolve({ ok: true, value: olderAnswers.get(key) }),
      }) as Partial<OlderSystemClient> as OlderSystemClient,
  };
  const limits = { requestsPerSecond: 1, tokensPerSecond: 1, concurrent: 1 };
  const runRequest = (changes: Partial<AcceptedCall> = {}, account = 'a') =>
    runCall(
      {
        requestId: 'r',
        account: { name: account, keys: [], weight: 1, limits, storeBytes: 0 },
        service: 's',
        call: { method: 'POST', path: '/book', headers: {}, body: '{}' },
        idempotencyKey: KEY,
        acceptedAtMs: performance.now(),
        ...changes,
      },
      deps,
      new AbortController().signal,
    );
  return { counts, unusable, journal, olderAnswers, deps, runRequest };
}
