import { randomInt } from 'node:crypto';
import net from 'node:net';

/** Lowest port. All ports stay below the ephemeral range, from which an outgoing connection could take one before it is used. */
const FIRST_PORT = 20_000;
/**
 * Number of port ranges. Each process uses the range of its process id, so that concurrent processes mostly use different
 * ranges: a port that one process has selected stays free for the others until its host listens.
 */
const RANGES = 40;
const PORTS_PER_RANGE = 300;
const MAX_ATTEMPTS = 100;
/** Number of recently returned ports that are not returned again, because their hosts may not listen yet. */
const MAX_RECENT_PORTS = 120;

const recentPorts: number[] = [];

const isFree = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

/**
 * Finds consecutive ports that are free on 127.0.0.1 and that this process has not recently returned.
 *
 * @param count number of consecutive ports
 * @returns the first of the ports
 * @throws {RangeError} when no attempt finds such ports
 */
export async function findFreePort(count = 1): Promise<number> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const first = FIRST_PORT + (process.pid % RANGES) * PORTS_PER_RANGE + randomInt(PORTS_PER_RANGE - count);
    const ports = Array.from({ length: count }, (_, index) => first + index);
    if (ports.some((port) => recentPorts.includes(port))) continue;
    recentPorts.push(...ports);
    const areFree = (await Promise.all(ports.map(isFree))).every(Boolean);
    if (!areFree) recentPorts.splice(recentPorts.indexOf(first), count);
    recentPorts.splice(0, recentPorts.length - MAX_RECENT_PORTS);
    if (areFree) return first;
  }
  throw new RangeError(`no ${String(count)} consecutive free ports found`);
}
