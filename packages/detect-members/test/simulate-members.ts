import { pack } from 'msgpackr';
import { sleep } from '@laburnumshift/clock';
import { detectMembers } from '@laburnumshift/detect-members';
import type { HostEntry, Member, Membership, NodeMesh } from '@laburnumshift/types';

type Handler = (body: unknown, from: string) => Promise<unknown>;

/** Simulated node. */
export interface SimulatedNode {
  readonly self: Member;
  readonly membership: Membership;
  /** Nodes of different groups do not reach each other; nodes of the group 'off' reach no node. */
  group: string;
}

/** Simulates nodes on an in-memory mesh with a latency of 1 ms. Needs the fake clock. */
export function simulateMembers(seed: number, listed = true) {
  const nodes = new Map<string, SimulatedNode>();
  const handlers = new Map<string, Map<string, Handler>>();
  const counts = { messages: 0, bytes: 0 };
  const countBody = (body: unknown): void => {
    counts.messages += 1;
    counts.bytes += pack({ id: counts.messages, type: 'probe', body }).length;
  };
  const isReachable = (from: string, to: string): boolean => {
    const [a, b] = [nodes.get(from)?.group, nodes.get(to)?.group];
    return a !== undefined && a !== 'off' && a === b;
  };
  const callNode = async (from: string, to: string, type: string, body: unknown, timeoutMs: number) => {
    countBody(body);
    const copy = structuredClone(body);
    await sleep(1);
    const handler = handlers.get(to)?.get(type);
    const startMs = performance.now();
    if (handler !== undefined && isReachable(from, to)) {
      const value = structuredClone(await handler(copy, from));
      countBody(value);
      await sleep(1);
      if (isReachable(from, to) && performance.now() - startMs < timeoutMs) return { ok: true, value };
    }
    await sleep(Math.max(0, timeoutMs - 1 - (performance.now() - startMs)));
    return { ok: false, error: { kind: 'timeout', detail: 'lost' } };
  };
  const addNode = (index: number, incarnation = 1): SimulatedNode => {
    const address = `10.0.0.${String(index)}:7000`;
    const own = new Map<string, Handler>();
    handlers.set(address, own);
    const mesh = {
      callNode: (to: string, type: string, body: unknown, timeoutMs: number) =>
        callNode(address, to, type, body, timeoutMs),
      handleMessage: (type: string, handler: Handler) => own.set(type, handler),
    } as unknown as NodeMesh;
    const self = { host: `node-${String(index)}`, incarnation, failureDomain: 'a', address };
    const listHosts = (): Promise<HostEntry[] | undefined> =>
      Promise.resolve(
        listed
          ? [...nodes.values()].map(({ self: m }) => ({ ...m, kind: 'node', state: 'live' as const }))
          : undefined,
      );
    const membership = detectMembers({
      self,
      mesh,
      listHosts,
      seeds: ['10.0.0.0:7000', '10.0.0.1:7000'],
      randomSeed: seed * 1000 + index,
    });
    const node = { self, membership, group: 'all' };
    nodes.set(address, node);
    return node;
  };
  return {
    addNode,
    nodes,
    counts,
    hasFullView: (): boolean => {
      const up = [...nodes.values()].filter((n) => n.group !== 'off');
      return up.every((n) => n.membership.listLiveMembers().length === up.length);
    },
    close: () => {
      for (const node of nodes.values()) node.membership.close();
    },
  };
}
