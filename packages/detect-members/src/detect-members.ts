import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { readMonotonicMs, runEvery, startTimer, waitWithTimeout } from '@laburnumshift/clock';
import { createLogger } from '@laburnumshift/logger';
import { computeRendezvousWeight } from '@laburnumshift/rank-homes';
import type { Member, Membership } from '@laburnumshift/types';
import { createMemberTable } from './create-member-table.js';
import { createProber } from './create-prober.js';
import { createUpdateQueue } from './create-update-queue.js';
import { DEFAULT_DETECTOR_TIMING } from './default-detector-timing.js';
import type { DetectMembersOptions } from './detect-members-options.js';
import { findRingSuccessor } from './find-ring-successor.js';
import { GOSSIP_SCHEMA } from './gossip-schema.js';
import type { Gossip } from './gossip.js';
import type { MemberEntry } from './member-entry.js';
import { pickRandom } from './pick-random.js';

/** Largest number of changed records in a message. */
const MAX_UPDATES = 8;
/** Random records in each message; they repair differences left by lost changes. */
const RANDOM_RECORDS = 2;
/** Largest number of live members added to the reply to a joining node. */
const JOIN_RECORDS = 64;
/** A node that knows fewer live members, itself included, asks for more. */
const MIN_KNOWN_MEMBERS = 2;
/** Members that probe indirectly after a direct probe failed. */
const INDIRECT_PROBES = 2;
/** Members that are sent an urgent change at once; each of them forwards it in the same way. */
const URGENT_FANOUT = 4;
/** Urgent changes within this time are sent in the same messages. */
const URGENT_DELAY_MS = 20;
/** Members that a leaving node notifies. */
const LEAVE_FANOUT = 16;
/** Time that a leaving node waits for their replies. */
const LEAVE_TIMEOUT_MS = 1000;
/** A check of the suspicions that runs this late means that this process was paused. */
const PROCESS_PAUSE_MS = 250;

/** Starts the failure detector of a node. Its message rate and message size do not grow with the number of members. */
export function detectMembers(options: DetectMembersOptions): Membership {
  const { self, mesh } = options;
  const timing = { ...DEFAULT_DETECTOR_TIMING, ...options.timing };
  const logger = createLogger('members');
  const random = xoroshiro128plus(options.randomSeed);
  const queue = createUpdateQueue();
  const handlers = new Set<(live: readonly Member[]) => void>();
  const ownRingPosition = computeRendezvousWeight('probe-ring', self.host);
  let candidates: readonly string[] = options.seeds;
  let left = false;
  let closed = false;
  let urgentScheduled = false;
  let live: readonly Member[] = [self];

  const updateLive = (): void => {
    const members = table.listLive().map(({ record }): Member => {
      const { host, incarnation, failureDomain, address } = record;
      return { host, incarnation, failureDomain, address };
    });
    const next = (left ? members : [...members, self]).sort((a, b) => (a.host < b.host ? -1 : 1));
    const isSame =
      next.length === live.length &&
      next.every((m, i) => {
        const other = live[i];
        return m.host === other?.host && m.incarnation === other.incarnation && m.address === other.address;
      });
    if (isSame) return;
    live = next;
    for (const handler of handlers) handler(live);
  };
  const sendUrgent = (): void => {
    urgentScheduled = false;
    if (closed) return;
    for (const { record } of pickRandom(random, table.listLive(), URGENT_FANOUT)) {
      void prober.sendProbe(record.address, record.host, timing.directProbeTimeoutMs);
    }
  };
  const table = createMemberTable(self, timing, (host, urgent) => {
    queue.addUpdate(host);
    updateLive();
    if (!urgent || urgentScheduled) return;
    urgentScheduled = true;
    startTimer(URGENT_DELAY_MS, sendUrgent);
  });

  /**
   * Builds a message. Its records are those of this node, of the receiver if it has something to refute, of changed members and
   * of random members.
   */
  const buildGossip = (host: string | undefined): Gossip => {
    const hosts = new Set<string>();
    const receiver = host === undefined ? undefined : table.findMember(host);
    if (receiver !== undefined && receiver.record.state !== 'alive') hosts.add(receiver.record.host);
    const liveCount = live.length;
    for (const changed of queue.takeHosts(MAX_UPDATES, liveCount)) hosts.add(changed);
    for (const { record } of pickRandom(random, table.listAll(), RANDOM_RECORDS)) hosts.add(record.host);
    hosts.delete(self.host);
    const known = [...hosts].map((h) => table.findMember(h)).filter((m) => m !== undefined);
    return {
      records: [table.buildSelf(), ...known.map(table.buildRecord)],
      ...(liveCount < MIN_KNOWN_MEMBERS ? { join: true } : {}),
    };
  };
  const prober = createProber(mesh, table, timing, buildGossip, (exclude) =>
    pickRandom(
      random,
      table.listLive().filter((m) => m.record.host !== exclude && m.record.state === 'alive'),
      INDIRECT_PROBES,
    ).map((m) => m.record),
  );

  const handleGossip = (body: unknown): { readonly gossip: Gossip; readonly reply: Gossip } => {
    const gossip = GOSSIP_SCHEMA.safeParse(body).data;
    if (gossip === undefined) {
      logger.warn('refused a probe with an invalid body');
      throw new Error('the body of the probe is not valid');
    }
    for (const record of gossip.records) table.mergeRecord(record);
    const reply = buildGossip(gossip.records[0]?.host);
    if (gossip.join !== true) return { gossip, reply };
    const known = pickRandom(random, table.listLive(), JOIN_RECORDS).map(table.buildRecord);
    return { gossip, reply: { ...reply, records: [...reply.records, ...known] } };
  };
  mesh.handleMessage('probe', (body) => Promise.resolve(handleGossip(body).reply));
  mesh.handleMessage('probe-for', async (body) => {
    const { gossip, reply } = handleGossip(body);
    if (gossip.target === undefined) return reply;
    const reached = await prober.sendProbe(gossip.target, undefined, timing.indirectProbeTimeoutMs / 2);
    return { ...reply, ...(reached === undefined ? {} : { reached }) };
  });

  /** Lists addresses to probe again: candidates without a record, and dead members. */
  const listUnreachable = (): string[] => {
    const known = new Map(table.listAll().map((m) => [m.record.address, m.record.state]));
    const unreachable = new Set(candidates.filter((a) => a !== self.address && !known.has(a)));
    for (const [address, state] of known) if (state === 'dead') unreachable.add(address);
    return [...unreachable];
  };
  const probeUnreachable = (): void => {
    const unreachable = listUnreachable();
    // All nodes together probe each of these addresses about once per period, independent of the number of nodes.
    const share = unreachable.length / live.length;
    if (share < 1 && uniformInt(random, 0, 9999) >= share * 10_000) return;
    const count = live.length < MIN_KNOWN_MEMBERS ? 3 : 1;
    for (const address of pickRandom(random, unreachable, count)) {
      const dead = table.listAll().find((m) => m.record.address === address);
      void prober.sendProbe(address, dead?.record.host, timing.directProbeTimeoutMs);
    }
  };
  const probeOnce = (): void => {
    const others = table.listLive();
    const targets = new Set<MemberEntry>(pickRandom(random, others, 1));
    // Each member is probed in each period by exactly one node, its predecessor, which bounds the time to detect a failure.
    const successor = findRingSuccessor(ownRingPosition, others);
    if (successor !== undefined) targets.add(successor);
    for (const { record } of targets) void prober.probeMember(record);
    if (!left) probeUnreachable();
  };
  let lastCheckMs = readMonotonicMs();
  const checkSuspicions = (): void => {
    const now = readMonotonicMs();
    const late = now - lastCheckMs > timing.suspicionCheckIntervalMs + PROCESS_PAUSE_MS;
    lastCheckMs = now;
    table.expireSuspicions(late, (address) => candidates.includes(address));
    updateLive();
  };
  const refreshCandidates = async (): Promise<void> => {
    const hosts = await options.listHosts();
    if (hosts === undefined) return;
    const listed = hosts.filter((h) => h.kind === 'node' && h.state === 'live').map((h) => h.address);
    candidates = [...new Set([...options.seeds, ...listed.filter((a) => a !== undefined)])];
  };
  const reportError = (error: unknown): void => {
    logger.error('membership task failed', { detail: String(error) });
  };
  const addJitter = (ms: number) => () => uniformInt(random, Math.round(ms * 0.9), Math.round(ms * 1.1));
  const stops = [
    runEvery(addJitter(timing.probeIntervalMs), probeOnce, reportError),
    runEvery(timing.suspicionCheckIntervalMs, checkSuspicions, reportError),
    runEvery(addJitter(timing.hostListIntervalMs), refreshCandidates, reportError),
  ];

  return {
    getSelf: () => self,
    listLiveMembers: () => live,
    onChange: (handler) => {
      handlers.add(handler);
      return () => {
        handlers.delete(handler);
      };
    },
    leave: async () => {
      left = true;
      table.markLeft();
      updateLive();
      const notified = pickRandom(random, table.listLive(), LEAVE_FANOUT).map(({ record }) =>
        prober.sendProbe(record.address, record.host, LEAVE_TIMEOUT_MS),
      );
      await waitWithTimeout(Promise.all(notified), LEAVE_TIMEOUT_MS);
    },
    close: () => {
      closed = true;
      for (const stop of stops) stop();
      handlers.clear();
    },
  };
}
