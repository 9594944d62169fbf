import { computeElapsedMs, readMoment, readMonotonicMs, startTimer, type Moment } from '@laburnumshift/clock';
import { MESSAGE_KINDS, type HostMessage } from '@laburnumshift/host-channel';
import { createLogger } from '@laburnumshift/logger';
import type { ServerCondition } from '@laburnumshift/track-engines';
import { createMessageTable } from './create-message-table.js';
import { createRelayPlanManager } from './create-relay-plan-manager.js';
import { decodeLoadMessage } from './decode-load-message.js';
import { decodeStateMessage } from './decode-state-message.js';
import type { ReceivedMessage } from './received-message.js';
import type { PeerHost } from './peer-host.js';
import { computeRemainingLoads } from './compute-remaining-loads.js';
import type { LoadMessage } from './load-message.js';
import type { LoadSharing } from './load-sharing.js';
import type { LoadSum } from './load-sum.js';
import { mergeLoads } from './merge-loads.js';
import { NO_WORK } from './no-work.js';
import { ZERO_LOAD } from './zero-load.js';
import type { EncodedWork } from './encoded-work.js';
import type { EncodedServerLoad } from './encoded-server-load.js';
import type { LoadSharingOptions } from './load-sharing-options.js';
import type { StateMessage } from './state-message.js';
import type { RelayReport } from './relay-report.js';

/** Minimum interval between two reports, milliseconds: about the time between two calls of a busy engine. */
const MIN_PERIOD_MS = 80;
/** Maximum number of datagrams with reports that a host sends per second. Each takes about 20 microseconds of processor time. */
const MAX_REPORTS_PER_S = 70;
/**
 * Minimum interval between two reports in large fleets, milliseconds. The home host that places the calls knows their starts without
 * reports.
 */
const RELAYED_PERIOD_MS = 150;
/** Reports to the followed relay per report to the other relays, which need them only when the followed one fails. */
const REPORTS_PER_STANDBY_REPORT = 3;
/** Interval between reports without changes, milliseconds: three reports are sent before the oldest expires. */
const IDLE_REPORT_PERIOD_MS = 400;
/** Interval at which a relay sends the sum of its failure domain to the relays of the others, milliseconds. */
const DOMAIN_SUM_PERIOD_MS = 200;
/** Sums of the failure domain per message to a follower with the states of the copies at the relay. */
const SUMS_PER_STATE_MESSAGE = 2;
/** Sums of the failure domain per message to a follower with the loads of all other hosts. */
const SUMS_PER_OTHERS_MESSAGE = 5;
/** Messages to a follower per message to a host that reports here but follows another relay. */
const FOLLOWER_MESSAGES_PER_STANDBY_MESSAGE = 3;
/** Maximum age of the cached sum without a new message, milliseconds; it is computed again because older messages expire. */
const SUM_CACHE_MS = 100;
/** Number of reports whose send time is kept, to compute the age of the states that answer them. */
const MAX_SENT_TIMES = 64;
const MS_PER_S = 1000;
/** Stands for the missing data for relays in a message that has later elements. */
const NO_REPORT: RelayReport = [false, 0, [[], [], [], []]];

/**
 * Shares the loads of hosts by datagrams. Each message contains the complete state of what it covers, so a lost message is replaced by the
 * next one, and there are no connections that could stall. A host reports when its load changed, and at a fixed interval otherwise. In
 * small fleets it reports to all other hosts. In large fleets it reports to two relays of its failure domain, which exchange sums with
 * the relays of other failure domains, return to each host the load of all others, and tell their followers how current their copies of
 * platform objects are.
 */
export function createLoadSharing(options: LoadSharingOptions): LoadSharing {
  const { self, bornMs, channel, serverTracker, notices, listPeers } = options;
  const logger = createLogger('sharing');
  const table = createMessageTable();
  /** Time of the last message of any kind by host, monotonic milliseconds. */
  const lastReceivedMs = new Map<string, number>();
  const planManager = createRelayPlanManager(
    self,
    listPeers,
    (host) => lastReceivedMs.get(host) ?? -Infinity,
  );
  /** Send times of reports by sequence number. */
  const sent = new Map<number, Moment>();
  let number = 0;
  let isClosed = false;
  let sum: LoadSum = { loads: new Map(), work: new Map(), hosts: 0 };
  let summedAtMs = -Infinity;
  let lastReportMs = -Infinity;
  let isChanged = false;
  let stopReport = (): void => undefined;
  let isRelaying = false;
  let sumCount = 0;

  const listCurrentLoads = (): ReceivedMessage[] => {
    const reports = table.listCurrent(MESSAGE_KINDS.hostLoad);
    const [othersMessage] = table.listCurrent(MESSAGE_KINDS.otherHostsLoad);
    // A host that gets reports is a relay, and its own data are newer than those that another relay returns.
    if (reports.length === 0 && othersMessage !== undefined) return [othersMessage];
    const domains = new Map<string, ReceivedMessage>();
    for (const domainMessage of table.listCurrent(MESSAGE_KINDS.domainLoad))
      if (domainMessage.failureDomain !== self.failureDomain && !domains.has(domainMessage.failureDomain))
        domains.set(domainMessage.failureDomain, domainMessage);
    return [...reports, ...domains.values()];
  };
  const getCachedSum = (): LoadSum => {
    const now = readMonotonicMs();
    if (now - summedAtMs > SUM_CACHE_MS) {
      sum = mergeLoads(listCurrentLoads());
      summedAtMs = now;
    }
    return sum;
  };
  const buildMessage = (
    kind: LoadMessage[0],
    hosts: number,
    loads: readonly EncodedServerLoad[],
    report?: RelayReport,
    works: readonly EncodedWork[] = [],
    conditions: readonly ServerCondition[] = [],
  ): HostMessage => {
    const encodedNotices = notices
      .listNotices()
      .map(
        (notice) => [notice.server, notice.bornMs, notice.isLeaving, notice.pauseMs, notice.ageMs] as const,
      );
    const message = [
      kind,
      self.host,
      bornMs,
      number,
      self.failureDomain,
      hosts,
      loads,
      encodedNotices,
    ] as const;
    if (works.length > 0 || conditions.length > 0)
      return [...message, report ?? NO_REPORT, [works, conditions]] satisfies LoadMessage;
    return (report === undefined ? message : [...message, report]) satisfies LoadMessage;
  };
  const listAddresses = (peers: readonly PeerHost[]): string[] => peers.map(({ address }) => address);

  const sendReport = (): void => {
    const plan = planManager.getPlan();
    number += 1;
    sent.set(number, readMoment());
    sent.delete(number - MAX_SENT_TIMES);
    lastReportMs = readMonotonicMs();
    isChanged = false;
    const own = serverTracker.listLoads();
    const works = serverTracker.listWork();
    const conditions = serverTracker.listConditions();
    const observed = serverTracker.drainObservations();
    const settled = options.getSettledNumber?.() ?? 0;
    const buildReport = (isFollower: boolean): HostMessage =>
      plan.isRelayed
        ? buildMessage(
            MESSAGE_KINDS.hostLoad,
            1,
            own,
            [isFollower, settled, [observed.results, observed.reads, observed.runs, observed.fetches]],
            works,
            conditions,
          )
        : buildMessage(MESSAGE_KINDS.hostLoad, 1, own, undefined, works, conditions);
    const upstreamPeers = plan.reportTo.filter(({ host }) => host === plan.upstream?.host);
    const otherPeers = plan.reportTo.filter(({ host }) => host !== plan.upstream?.host);
    if (upstreamPeers.length > 0) channel.sendMessage(listAddresses(upstreamPeers), buildReport(true));
    const isSentToUpstreamOnly = upstreamPeers.length > 0 && number % REPORTS_PER_STANDBY_REPORT !== 0;
    if (!isSentToUpstreamOnly) channel.sendMessage(listAddresses(otherPeers), buildReport(false));
    if (plan.isRelayed) planManager.checkRelays(plan.reportTo);
  };
  const scheduleReport = (): void => {
    stopReport();
    if (isClosed) return;
    const { reportTo, isRelayed } = planManager.getPlan();
    const periodMs = isRelayed
      ? RELAYED_PERIOD_MS
      : Math.max(MIN_PERIOD_MS, (reportTo.length * MS_PER_S) / MAX_REPORTS_PER_S);
    const dueMs = lastReportMs + (isChanged ? periodMs : Math.max(periodMs, IDLE_REPORT_PERIOD_MS));
    stopReport = startTimer(Math.max(0, dueMs - readMonotonicMs()), () => {
      sendReport();
      scheduleReport();
    });
  };
  const sendStates = (reports: readonly ReceivedMessage[], peers: ReadonlyMap<string, PeerHost>): void => {
    const states = (options.listObjectStates?.() ?? []).map(
      ({ kind, revision, newest, ageMs, recoveredMs }) =>
        [kind, revision, newest, ageMs, Number.isFinite(recoveredMs) ? recoveredMs : null] as const,
    );
    for (const report of reports) {
      const peer = peers.get(report.host);
      if (peer === undefined) continue;
      const heldMs = readMonotonicMs() - report.atMs;
      const message = [MESSAGE_KINDS.objectStates, self.host, bornMs, report.number, heldMs, states] as const;
      channel.sendMessage([peer.address], message satisfies StateMessage);
    }
  };
  const sendOthers = (
    totalSum: LoadSum,
    reports: readonly ReceivedMessage[],
    peers: ReadonlyMap<string, PeerHost>,
  ): void => {
    for (const report of reports) {
      const peer = peers.get(report.host);
      if (peer === undefined) continue;
      const message = buildMessage(
        MESSAGE_KINDS.otherHostsLoad,
        totalSum.hosts - 1,
        computeRemainingLoads(totalSum, report.loads),
      );
      channel.sendMessage([peer.address], message);
    }
  };
  /** Sends the messages of a relay and schedules the next ones; stops when no host reports to this one. */
  const sendRelayMessages = (): void => {
    const reports = table.listCurrent(MESSAGE_KINDS.hostLoad);
    const plan = planManager.getPlan();
    isRelaying = reports.length > 0 && plan.isRelayed && !isClosed;
    if (!isRelaying) return;
    sumCount += 1;
    number += 1;
    const ownLoads = { loads: serverTracker.listLoads(), works: serverTracker.listWork(), hosts: 1 };
    const domainSum = mergeLoads([ownLoads, ...reports]);
    const message = buildMessage(
      MESSAGE_KINDS.domainLoad,
      domainSum.hosts,
      computeRemainingLoads(domainSum, []),
      undefined,
      [...domainSum.work].map(([server, { calls, ms }]) => [server, calls, ms] as const),
      serverTracker.listConditions(),
    );
    channel.sendMessage(listAddresses(plan.otherRelays), message);
    planManager.checkRelays(plan.otherRelays);
    const isDue = (every: number, { isFollower }: ReceivedMessage): boolean =>
      sumCount % (isFollower ? every : every * FOLLOWER_MESSAGES_PER_STANDBY_MESSAGE) === 0;
    const stateReceivers = reports.filter((report) => isDue(SUMS_PER_STATE_MESSAGE, report));
    const othersReceivers = reports.filter((report) => isDue(SUMS_PER_OTHERS_MESSAGE, report));
    const peers = new Map(listPeers().map((peer) => [peer.host, peer]));
    if (stateReceivers.length > 0) sendStates(stateReceivers, peers);
    if (othersReceivers.length > 0)
      sendOthers(mergeLoads([ownLoads, ...listCurrentLoads()]), othersReceivers, peers);
    startTimer(DOMAIN_SUM_PERIOD_MS, sendRelayMessages);
  };

  const recordReceived = (host: string): void => {
    lastReceivedMs.set(host, readMonotonicMs());
    planManager.clearSuspicion(host);
  };
  const handleLoads = (raw: readonly unknown[]): boolean => {
    const message = decodeLoadMessage(raw);
    if (message === undefined) return false;
    const [kind, host, hostBornMs, , , , , encodedNotices, report, extras] = message;
    if (host === self.host) return true;
    const status = table.addMessage(message);
    if (status === 'new') logger.info('received first message from host', { host, bornMs: hostBornMs, kind });
    if (status === 'old') return true;
    for (const [server, noticeBornMs, isLeaving, pauseMs, ageMs] of encodedNotices ?? [])
      notices.addNotice({ server, bornMs: noticeBornMs, isLeaving, pauseMs, ageMs });
    for (const condition of extras?.[1] ?? []) serverTracker.observeCondition(condition);
    summedAtMs = -Infinity;
    recordReceived(host);
    if (report !== undefined) {
      const [, settled, [results, reads, runs, fetches]] = report;
      serverTracker.addObservations({ results, reads, runs, fetches });
      options.onPlacementRequestsSettled?.(host, hostBornMs, settled);
    }
    if (kind === MESSAGE_KINDS.hostLoad && !isRelaying) sendRelayMessages();
    return true;
  };
  const handleStates = (raw: readonly unknown[]): boolean => {
    const stateMessage = decodeStateMessage(raw);
    if (stateMessage === undefined) return false;
    recordReceived(stateMessage.host);
    const sentAt = sent.get(stateMessage.echo);
    // The round-trip time without the delay at the relay is an upper bound of the time of the way back.
    if (sentAt !== undefined)
      options.onObjectStates?.(
        stateMessage.host,
        stateMessage.states,
        Math.max(0, computeElapsedMs(sentAt) - stateMessage.heldMs),
      );
    return true;
  };
  for (const kind of [MESSAGE_KINDS.hostLoad, MESSAGE_KINDS.domainLoad, MESSAGE_KINDS.otherHostsLoad])
    channel.handleMessages(kind, handleLoads);
  channel.handleMessages(MESSAGE_KINDS.objectStates, handleStates);
  serverTracker.watchLoads(() => {
    if (isChanged) return;
    isChanged = true;
    scheduleReport();
  });
  scheduleReport();

  return {
    getLoadOfOthers: (server) => getCachedSum().loads.get(server) ?? ZERO_LOAD,
    getWorkOfOthers: (server) => getCachedSum().work.get(server) ?? NO_WORK,
    countCoveredHosts: () => getCachedSum().hosts,
    countReportingHosts: () => table.listCurrent(MESSAGE_KINDS.hostLoad).length + 1,
    getLoadsAgeMs: () => {
      const current = listCurrentLoads();
      if (current.length === 0) return undefined;
      return readMonotonicMs() - Math.min(...current.map(({ atMs }) => atMs));
    },
    getPlan: planManager.getPlan,
    markRelaySuspect: planManager.markRelaySuspect,
    close: () => {
      isClosed = true;
      stopReport();
    },
  };
}
