import { createEntryClient, type EntryClient, type EntryError } from '@laburnumshift/call-entry';
import { readMonotonicMs, readWallMs, sleep } from '@laburnumshift/clock';
import type { Balancer } from './balancer.js';
import { buildPrompt } from './build-prompt.js';
import type { LoadRequest } from './load-request.js';
import type { RequestRecord } from './request-record.js';

/** A caller gives up after this time, which is longer than every deadline of the examples but that of bulk work. */
const GIVE_UP_MS = 30_000;
const MAX_ATTEMPTS = 12;
/** Wait before a resend when no time was named. */
const RESEND_MS = 100;

/** What a caller got from one attempt. */
interface Attempt {
  readonly error?: EntryError | undefined;
  readonly firstTokenMs: number | undefined;
  readonly tokens: number;
  readonly server?: string | undefined;
}

/** Creates the sender of requests. A refused or cut request is sent again, at another daemon when there is one. */
export function createLoadSender(balancer: Balancer): {
  readonly sendRequest: (request: LoadRequest) => Promise<RequestRecord>;
  readonly close: () => void;
} {
  const clients = new Map<string, EntryClient>();
  const getClient = (url: string, account: string): EntryClient => {
    const key = `${url} ${account}`;
    const client = clients.get(key) ?? createEntryClient(url, `${account}-demo-key`);
    clients.set(key, client);
    return client;
  };
  const sendCompletion = async (
    client: EntryClient,
    request: LoadRequest,
    offset: number,
  ): Promise<Attempt> => {
    const output = await client.complete({
      service: request.kind.service,
      prompt: buildPrompt(request.parts),
      maxTokens: request.kind.outputTokens,
      requestId: request.id,
      offset,
    });
    const { error, firstTokenMs, finished, tokens } = output;
    const cut: EntryError = { kind: 'cut', detail: 'unfinished' };
    return { error: error ?? (finished ? undefined : cut), firstTokenMs, tokens: tokens.length };
  };
  const sendCall = async (
    client: EntryClient,
    request: LoadRequest,
    issuedAtMs: number,
  ): Promise<Attempt> => {
    const { service, path = '/', hasKey = false } = request.kind;
    const answer = await client.call({
      service,
      path,
      body: JSON.stringify({ id: request.id }),
      ...(hasKey ? { key: `key-${request.id}`, issuedAtMs } : {}),
    });
    if (answer.kind === 'failed') return { error: answer.error, firstTokenMs: undefined, tokens: 0 };
    const { service: server } = JSON.parse(answer.body) as { readonly service?: string };
    return { firstTokenMs: answer.totalMs, tokens: 0, server };
  };
  const sendRequest = async (request: LoadRequest): Promise<RequestRecord> => {
    const sentAtMs = readMonotonicMs();
    const issuedAtMs = readWallMs();
    const refusals: string[] = [];
    const cuts: string[] = [];
    let firstTokenMs: number | undefined;
    let server: string | undefined;
    let offset = 0;
    let attempts = 0;
    let finished = false;
    let last: string | undefined;
    while (!finished && attempts < MAX_ATTEMPTS && readMonotonicMs() - sentAtMs < GIVE_UP_MS) {
      const entry = balancer.pickEntry(last);
      if (entry === undefined) {
        await sleep(RESEND_MS);
        continue;
      }
      attempts += 1;
      const startedMs = readMonotonicMs() - sentAtMs;
      const client = getClient(entry.callersUrl, request.account);
      const attempt =
        request.kind.kind === 'completion'
          ? await sendCompletion(client, request, offset)
          : await sendCall(client, request, issuedAtMs);
      offset += attempt.tokens;
      server = attempt.server;
      if (attempt.firstTokenMs !== undefined) firstTokenMs ??= startedMs + attempt.firstTokenMs;
      const { error } = attempt;
      finished = error === undefined;
      if (error === undefined) break;
      last = entry.host;
      if (error.kind === 'cut') cuts.push(error.detail);
      else refusals.push(`${error.code} (${error.outcome})`);
      if (error.kind === 'refused' && error.outcome !== 'not run' && request.kind.hasKey === true) break;
      await sleep((error.kind === 'refused' ? error.retryAfterMs : undefined) ?? RESEND_MS);
    }
    const totalMs = readMonotonicMs() - sentAtMs;
    return { request, sentAtMs, firstTokenMs, totalMs, finished, refusals, cuts, attempts, server };
  };
  return {
    sendRequest,
    close: () => {
      for (const client of clients.values()) client.close();
    },
  };
}
