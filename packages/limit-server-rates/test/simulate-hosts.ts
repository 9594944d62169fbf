import { installClock } from '@laburnumshift/test-utils';
import { createServerLimits, type LimitedServer, type ServerLimits } from '@laburnumshift/limit-server-rates';
import { MESSAGE_KINDS } from '@laburnumshift/host-channel';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

const STEP_MS = 10;
/** Way of a message between hosts, way of a call to the server, and time until its answer, milliseconds. */
const MESSAGE_MS = 3;
const ANSWER_MS = 60;
const MESSAGE_LOSS = 0.05;

type Handler = Parameters<Parameters<typeof createServerLimits>[0]['channel']['handleMessages']>[1];

/** Traffic and faults of a simulated fleet. Times are in milliseconds from the start, rates in calls a second. */
export interface FleetPlan {
  readonly durationMs: number;
  /** Rate of calls that each host would like to send to the server. */
  readonly callsPerS: readonly number[];
  readonly getLimit: (ms: number) => number | undefined;
  /** Time in which no host has calls. */
  readonly quiet?: { readonly fromMs: number; readonly toMs: number };
  /** Hosts that do nothing and hear nothing, with the time. */
  readonly frozen?: readonly { readonly host: number; readonly fromMs: number; readonly toMs: number }[];
  /** Hosts whose messages to and from other hosts are lost. */
  readonly cutOff?: readonly { readonly host: number; readonly fromMs: number; readonly toMs: number }[];
  /** Hosts that start again without knowing anything. */
  readonly restarted?: readonly { readonly host: number; readonly atMs: number }[];
  readonly startedLate?: readonly { readonly host: number; readonly atMs: number }[];
}

/** A call that reached the server: its time, and its host. */
export interface Arrival {
  readonly ms: number;
  readonly host: number;
}

/** Plays hosts that send calls to one server as far as its limit allows, and returns the calls that reached it. */
export async function simulateHosts(plan: FleetPlan, seed: number): Promise<readonly Arrival[]> {
  const clock = installClock();
  const generator = xoroshiro128plus(seed);
  const pickShare = (): number => uniformFloat64(generator);
  const server: LimitedServer = { id: 'engine', bornMs: 1, service: 'models' };
  const peers = plan.callsPerS.map((_, index) => ({
    host: `host-${String(index)}`,
    failureDomain: 'north',
    address: `10.0.0.${String(index)}:7000`,
    size: 1,
  }));
  const handlers = new Map<string, Handler>();
  const arrivals: Arrival[] = [];
  let nowMs = 0;
  const isWithin = (faults: FleetPlan['frozen'], host: number): boolean =>
    (faults ?? []).some((fault) => fault.host === host && nowMs >= fault.fromMs && nowMs < fault.toMs);
  const isFrozen = (host: number): boolean => isWithin(plan.frozen, host);
  const createHost = (index: number): ServerLimits => {
    const self = peers[index];
    if (self === undefined) throw new Error('no such host');
    const others = peers.filter((peer) => peer !== self);
    return createServerLimits({
      self,
      listPeers: () => others,
      pickRandom: pickShare,
      getPlan: () => ({
        isRelayed: false,
        reportTo: others,
        otherRelays: [],
        upstream: undefined,
        objectsUpstream: undefined,
        isRelay: false,
      }),
      channel: {
        handleMessages: (kind, handler) => {
          if (kind === MESSAGE_KINDS.serverLimits) handlers.set(self.address, handler);
        },
        sendMessage: (addresses, message) => {
          if (isWithin(plan.cutOff, index) || isFrozen(index)) return;
          for (const address of addresses) {
            const receiver = peers.findIndex((peer) => peer.address === address);
            if (isWithin(plan.cutOff, receiver) || pickShare() < MESSAGE_LOSS) continue;
            setTimeout(() => {
              if (!isFrozen(receiver)) handlers.get(address)?.(message, self.address);
            }, MESSAGE_MS);
          }
        },
      },
    });
  };
  const getStartMs = (host: number): number => plan.startedLate?.find((one) => one.host === host)?.atMs ?? 0;
  const hosts = new Map<number, ServerLimits>();
  const sendCall = (host: number, limits: ServerLimits): void => {
    limits.takeRoom(server);
    arrivals.push({ ms: nowMs, host });
    const limitPerS = plan.getLimit(nowMs);
    setTimeout(() => {
      if (hosts.get(host) === limits && !isFrozen(host)) limits.observeLimit(server, limitPerS);
    }, ANSWER_MS);
  };
  try {
    for (; nowMs < plan.durationMs; nowMs += STEP_MS) {
      for (const [host, callsPerS] of plan.callsPerS.entries()) {
        const isRestarting = (plan.restarted ?? []).some((one) => one.host === host && one.atMs === nowMs);
        if (isRestarting) {
          hosts.get(host)?.close();
          hosts.delete(host);
        }
        if (nowMs < getStartMs(host) || isFrozen(host)) continue;
        const limits = hosts.get(host) ?? createHost(host);
        hosts.set(host, limits);
        if (nowMs >= (plan.quiet?.fromMs ?? Infinity) && nowMs < (plan.quiet?.toMs ?? Infinity)) continue;
        if (pickShare() >= (callsPerS * STEP_MS) / 1000) continue;
        limits.recordCall(server.service);
        if (limits.hasRoom(server)) sendCall(host, limits);
      }
      await clock.tickAsync(STEP_MS);
    }
  } finally {
    for (const limits of hosts.values()) limits.close();
    clock.uninstall();
  }
  return arrivals;
}
