import { randomUUID } from 'node:crypto';
import { readMonotonicMs, sleep } from '@laburnumshift/clock';
import type { Site } from '@laburnumshift/fakes/site';
import { runNode } from '@laburnumshift/run-node';
import type { HostEntry } from '@laburnumshift/types';
import { buildSettings } from './build-settings.js';
import type { Fleet } from './fleet.js';
import type { FleetNode } from './fleet-node.js';
import { startChildNode } from './start-child-node.js';

/** Time until the load balancer has noticed that a node stops; shorter than the delay that the node grants it. */
const BALANCER_NOTICE_MS = 100;

/** Starts the nodes of a run; with `hasChild`, the last one runs in a process of its own. */
export async function createFleet(site: Site, count: number, hasChild: boolean): Promise<Fleet> {
  const meshSecret = randomUUID();
  const buildNode = (index: number, seeds: readonly string[] = []) =>
    buildSettings(index, site.platform.url, seeds, meshSecret);
  const nodes: FleetNode[] = [];
  const starts = new Map<number, number>();
  /** Pauses of a node that have not ended; they may overlap. */
  const halted = new Map<FleetNode, number>();
  /** Two kills that overlap are followed by one start. */
  let reviving = Promise.resolve();
  const childIndex = hasChild ? count - 1 : -1;

  const findRunning = (index: number): FleetNode | undefined =>
    nodes.find((node) => node.index === index && node.running);
  const listRunning = (): readonly FleetNode[] => nodes.filter((node) => node.running);
  const updateHosts = (): void => {
    site.setNodes(
      listRunning().map((node): HostEntry => {
        const { host, failureDomain } = buildNode(node.index);
        return { host, kind: 'node', failureDomain, state: 'live', address: node.process.meshAddress };
      }),
    );
  };
  const startNode = async (index: number): Promise<void> => {
    const seeds = listRunning().map((node) => node.process.meshAddress);
    const settings = buildNode(index, seeds);
    const process = index === childIndex ? await startChildNode(settings) : await runNode(settings);
    const number = (starts.get(index) ?? 0) + 1;
    starts.set(index, number);
    const node = `${settings.host}/${String(number)}`;
    const life = { node, startMs: readMonotonicMs(), endMs: Infinity, killed: false, pauses: [] };
    nodes.push({ index, process, inService: true, running: true, life });
    updateHosts();
  };
  const finishLife = (node: FleetNode): void => {
    node.running = false;
    node.inService = false;
    node.life.endMs = readMonotonicMs();
    updateHosts();
  };
  const stopNode = async (node: FleetNode): Promise<void> => {
    node.life.stopMs = readMonotonicMs();
    node.life.drainMs = node.life.stopMs + buildNode(node.index).shutdown.balancerDelayMs;
    const stopped = node.process.stop();
    await sleep(BALANCER_NOTICE_MS);
    node.inService = false;
    await stopped;
    finishLife(node);
  };

  for (let index = 0; index < count; index += 1) await startNode(index);
  return {
    pickNode: (number) => {
      const serving = nodes.filter((node) => node.inService);
      return serving[number % serving.length];
    },
    restartNode: async (number) => {
      const index = number % count;
      const node = findRunning(index);
      if (node === undefined || !node.inService || index === childIndex) return;
      await stopNode(node);
      await startNode(index);
    },
    killChild: () => {
      const node = findRunning(childIndex);
      if (node !== undefined) {
        node.life.killed = true;
        node.process.sendSignal?.('SIGKILL');
        finishLife(node);
      }
      return Promise.resolve();
    },
    reviveChild: () => {
      reviving = reviving.then(async () => {
        if (findRunning(childIndex) === undefined) await startNode(childIndex);
      });
      return reviving;
    },
    pauseChild: () => {
      const node = findRunning(childIndex);
      if (node === undefined) return () => undefined;
      const startMs = readMonotonicMs();
      node.process.sendSignal?.('SIGSTOP');
      halted.set(node, (halted.get(node) ?? 0) + 1);
      return () => {
        const left = (halted.get(node) ?? 1) - 1;
        halted.set(node, left);
        if (left === 0) node.process.sendSignal?.('SIGCONT');
        node.life.pauses.push({ startMs, endMs: readMonotonicMs() });
      };
    },
    listLives: () => nodes.map(({ life }) => ({ ...life })),
    listRunning,
    close: async () => {
      await Promise.all(
        listRunning().map(async ({ process }) => {
          if (process.sendSignal === undefined) await process.stop();
          else process.sendSignal('SIGKILL');
        }),
      );
    },
  };
}
