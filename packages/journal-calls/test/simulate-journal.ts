import { sleep } from '@laburnumshift/clock';
import { createCallJournal } from '@laburnumshift/journal-calls';
import type { JournalLimits } from '@laburnumshift/journal-calls';
import type { CallJournal, JournalBegin, JournalDecision, Member, NodeMesh } from '@laburnumshift/types';
import { createFakePlatform, type Fault } from './fake-platform.js';

type Handler = (body: unknown) => Promise<unknown>;

/** What the node does after it got permission to run. */
export type CallOutcome =
  'finish' | 'abandon' | 'no-result' | 'mark-unknown' | 'crash-before' | 'crash-after' | 'crash-finishing';

interface SimulatedNode {
  member: Member;
  journal: CallJournal;
  handlers: Map<string, Handler>;
  kill: () => void;
  isAlive: boolean;
}

/** Simulates nodes with journals on one platform and a service that counts its runs, and checks each decision. */
export function simulateJournal(
  pickFault: () => Fault,
  random: () => number,
  settings: {
    /** Configured number of shards of each node, by index. */
    shards: readonly number[];
    retentionMs: number;
    minWriteIntervalMs: number;
    limits: Partial<JournalLimits>;
  },
) {
  const platform = createFakePlatform(pickFault, () => 1 + Math.floor(random() * 8));
  const state = {
    split: false,
    mesh: 'ok' as 'ok' | 'lost' | 'reply-lost' | 'late',
    /** True until a node crashes or a link fails. */
    isFaultFree: true,
  };
  const nodes: SimulatedNode[] = [];
  const runs = new Map<string, string[]>();
  const confirmed = new Set<string>();
  /** Keys whose attempt was confirmed as unknown without an answer. */
  const markedUnknown = new Set<string>();
  const issued = new Map<string, number>();
  const problems: string[] = [];
  /** By key, the last attempt that got `seen: false`. Earlier attempts with the key must not run after that. */
  const unseen = new Map<string, number>();
  let attempts = 0;

  const callNode = async (
    from: SimulatedNode,
    to: string,
    type: string,
    body: unknown,
    timeoutMs: number,
  ) => {
    const target = nodes.find((n) => n.member.address === to);
    const mode = state.mesh;
    await sleep(mode === 'late' ? timeoutMs + 300 : 1);
    const handler = target?.isAlive === true && mode !== 'lost' ? target.handlers.get(type) : undefined;
    const reply = handler?.(structuredClone(body)).then((value) => ({ ok: true, value }));
    const failure = sleep(timeoutMs).then(() => ({ ok: false, error: { kind: 'timeout', detail: '' } }));
    const result = await (reply === undefined || mode !== 'ok' ? failure : Promise.race([reply, failure]));
    return from.isAlive ? result : new Promise(() => undefined);
  };
  const startNode = (index: number, incarnation: number): void => {
    const { client, kill } = platform.createClient();
    const handlers = new Map<string, Handler>();
    const member = {
      host: `node-${String(index)}`,
      incarnation,
      failureDomain: 'a',
      address: `10.0.0.${String(index)}:1`,
    };
    const node = { member, handlers, kill, isAlive: true } as unknown as SimulatedNode;
    const mesh = {
      callNode: (to: string, type: string, body: unknown, timeoutMs: number) =>
        callNode(node, to, type, body, timeoutMs),
      handleMessage: (type: string, handler: Handler) => handlers.set(type, handler),
    } as unknown as NodeMesh;
    const membership = {
      getSelf: () => member,
      listLiveMembers: () =>
        nodes.filter((n) => n.isAlive && (!state.split || n === node)).map((n) => n.member),
    };
    node.journal = createCallJournal({
      platform: client,
      mesh,
      membership,
      ...settings,
      shards: settings.shards[index] ?? 1,
    });
    nodes[index] = node;
  };
  const killNode = (index: number): void => {
    const node = nodes[index];
    if (node === undefined) return;
    node.isAlive = false;
    state.isFaultFree = false;
    node.kill();
    void node.journal.close();
    startNode(index, node.member.incarnation + 1);
  };
  const isDead = (node: SimulatedNode): boolean => !node.isAlive;
  const checkDecision = (key: string, decision: JournalDecision, attempt = 0): void => {
    const ran = runs.get(key) ?? [];
    if (decision.kind === 'finished' && decision.answer.body !== ran[0]) {
      problems.push(`${key}: finished with the answer of another run`);
    }
    if (decision.kind === 'unavailable' && !decision.seen && state.isFaultFree) {
      if (ran.length > 0) problems.push(`${key}: seen is false although it ran`);
      unseen.set(key, Math.max(attempt, unseen.get(key) ?? 0));
    }
    if (decision.kind === 'run' && ran.length > 0) problems.push(`${key}: run is permitted twice`);
  };
  const runCall = async (
    index: number,
    key: string,
    waitMs: number,
    outcome: CallOutcome,
  ): Promise<JournalDecision> => {
    const node = nodes[index];
    if (node === undefined) throw new Error('no such node');
    attempts += 1;
    const attempt = attempts;
    const attemptId = `attempt-${String(attempt)}`;
    if (!issued.has(key)) issued.set(key, Date.now());
    const call = { account: 'desk', service: 'booking', key };
    const begin: JournalBegin = {
      ...call,
      bodyHash: `hash-${key}`,
      attemptId,
      node: node.member.host,
      incarnation: node.member.incarnation,
      system: 'own',
      issuedAtMs: issued.get(key) ?? 0,
      waitMs,
    };
    const decision = await node.journal.beginCall(begin);
    if (!node.isAlive) return decision;
    checkDecision(key, decision, attempt);
    if (decision.kind !== 'run') return decision;
    if (outcome === 'abandon') await node.journal.abandonCall({ ...call, attemptId });
    else if (outcome === 'crash-before') killNode(index);
    else {
      const body = `answer-${attemptId}`;
      if (attempt < (unseen.get(key) ?? 0) && state.isFaultFree) {
        problems.push(`${key}: an attempt runs although a resend got seen: false`);
      }
      runs.set(key, [...(runs.get(key) ?? []), body]);
      await sleep(20);
      if (outcome === 'no-result' || isDead(node)) return decision;
      if (outcome === 'mark-unknown') {
        if ((await node.journal.markUnknown({ ...call, attemptId })) && !isDead(node)) markedUnknown.add(key);
        return decision;
      }
      if (outcome === 'crash-after') {
        killNode(index);
        return decision;
      }
      const finish = node.journal.finishCall({
        ...call,
        attemptId,
        answer: { status: 200, headers: {}, body },
      });
      if (outcome === 'crash-finishing') {
        await sleep(random() * 30);
        killNode(index);
      } else if ((await finish) && !isDead(node)) confirmed.add(key);
    }
    return decision;
  };
  const findCall = async (index: number, key: string): Promise<JournalDecision | undefined> => {
    const node = nodes[index];
    const ranBefore = (runs.get(key) ?? []).length;
    const decision = await node?.journal.findCall({ account: 'desk', service: 'booking', key });
    if (decision === undefined || node?.isAlive !== true) return undefined;
    const isKept = Date.now() < (issued.get(key) ?? 0) + settings.retentionMs;
    if (decision.kind === 'absent' && ranBefore > 0 && isKept)
      problems.push(`${key}: absent although it ran`);
    checkDecision(key, decision);
    return decision;
  };
  for (let i = 0; i < 3; i += 1) startNode(i, 1);
  return {
    state,
    nodes,
    runs,
    confirmed,
    markedUnknown,
    problems,
    platform,
    issued,
    runCall,
    findCall,
    killNode,
  };
}
