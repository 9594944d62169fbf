import { sleep } from '@laburnumshift/clock';
import {
  createRunRegistry,
  type RunRequest,
  type RunRegistry,
  type RunRegistryOptions,
  type StartRun,
} from '@laburnumshift/attach-runs';
import type { Member, Membership, NodeMesh, RunOutputItem } from '@laburnumshift/types';

type Handler = (body: unknown, from: string) => Promise<unknown>;

export const ANSWER = Array.from({ length: 12 }, (_, i) => `t${String(i)} `);

/** Simulates nodes in one process, with a mesh and a membership in memory. Calls to and from a dead node time out. */
export function simulateNodes(count: number, options: Partial<RunRegistryOptions> = {}) {
  const members = Array.from({ length: count }, (_, i): Member => {
    const host = `n${String(i)}`;
    return { host, incarnation: 1, failureDomain: 'd', address: host };
  });
  const dead = new Set<string>();
  const handlers = new Map<string, Map<string, Handler>>(
    members.map((m) => [m.host, new Map<string, Handler>()]),
  );
  const registries: RunRegistry[] = members.map((self) => {
    const mesh: Partial<NodeMesh> = {
      callNode: async (address, type, body, timeoutMs) => {
        const error = { kind: 'timeout' as const, detail: 'dead' };
        if (dead.has(address) || dead.has(self.host)) {
          await sleep(timeoutMs);
          return { ok: false, error };
        }
        const reply = (await handlers.get(address)?.get(type)?.(body, self.host)) as never;
        return dead.has(address) ? { ok: false, error } : { ok: true, value: reply };
      },
      handleMessage: (type, handler) => handlers.get(self.host)?.set(type, handler),
    };
    const membership: Partial<Membership> = {
      getSelf: () => self,
      listLiveMembers: () => members.filter((member) => !dead.has(member.host)),
    };
    return createRunRegistry({ mesh: mesh as NodeMesh, membership: membership as Membership, ...options });
  });
  const state = { started: 0, aborted: 0 };
  /** Creates a run that emits one token every 10 ms. Each token begins with the number of its run. */
  const createStart =
    (offset: number): StartRun =>
    async (emit, signal) => {
      state.started += 1;
      const run = String(state.started);
      for (let i = offset; i < ANSWER.length; i += 1) {
        await sleep(10, signal);
        if (signal.aborted) {
          state.aborted += 1;
          throw new Error('aborted');
        }
        emit(`${run}:${ANSWER[i] ?? ''}`, i + 1 === ANSWER.length ? 'stop' : null);
      }
      return { kind: 'finished', reason: 'stop' };
    };
  const openRun = (
    node: number,
    changes: Partial<RunRequest> = {},
    signal: AbortSignal = new AbortController().signal,
  ): AsyncIterable<RunOutputItem> => {
    const request = {
      account: 'a',
      requestId: 'r',
      hasCallerId: true,
      bodyHash: 'h',
      startOffset: 0,
      ...changes,
    };
    const registry = registries[node];
    if (registry === undefined) throw new Error('no such node');
    return registry.attachRun(request, createStart(request.startOffset), signal);
  };
  return { members, dead, registries, state, openRun };
}

/** Reads a run to its end or until `wanted` items were read. */
export async function collectItems(
  items: AsyncIterable<RunOutputItem>,
  wanted = Infinity,
): Promise<RunOutputItem[]> {
  const collected: RunOutputItem[] = [];
  for await (const item of items) {
    collected.push(item);
    if (collected.length >= wanted) break;
  }
  return collected;
}
