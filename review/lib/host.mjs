/** Starts the program of the deploy file as a process of its own, with settings like those of a small deployment. */
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import net from 'node:net';
import http from 'node:http';
import path from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

const ROOT = new URL('../../', import.meta.url).pathname;

/** The bounds of the site that the cases name. */
const BOUNDS = {
  'bounds.contact-ms': 3000,
  'bounds.drain-ms': 2000,
  'bounds.grace-s': 8,
  'bounds.config-apply-ms': 2000,
  'bounds.fail-closed': true,
  'bounds.revoke-ms': 5000,
  'bounds.budget-ratio': 0.2,
  'bounds.budget-window-s': 10,
  'bounds.budget-slack': 52,
  'bounds.lease-ms': 3000,
  'bounds.version-ms': 8000,
};

const findFreePort = (ip) =>
  new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, ip, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

/** Reads the `run` line of the deploy file. */
const readCommand = () => {
  const deploy = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"/m.exec(deploy)[1].split(' ');
};

export async function createHost({ name, zone, ip, storeAddress, folder, bootstrap = true }) {
  const [front, ready, metrics] = [await findFreePort(ip), await findFreePort(ip), await findFreePort(ip)];
  const internal = await findFreePort(ip);
  const file = path.join(folder, `${name}.conf`);
  const writeSettings = (isFirstStart) => {
    const settings = {
      node: name,
      role: 'forwarder',
      'machine-class': 'front',
      serves: 'front',
      ip,
      zone,
      region: 'kerala-south',
      'listen.front': `${ip}:${front}`,
      'listen.ready': `${ip}:${ready}`,
      'internal-ports': `${internal},${internal + 15}`,
      bootstrap: isFirstStart,
      'limits.cpu-share': 0.675,
      'limits.cores': 1,
      'limits.memory-mb': 350,
      'limits.max-fds': 4100,
      'limits.link-mbps': 1000,
      discovery: 'platform',
      entry: 'vip',
      'heartbeat-ms': 1200,
      ...BOUNDS,
      'platform.address': storeAddress,
      'platform.form': 'objects',
    };
    const lines = Object.entries(settings).map(([key, value]) => `${key}=${value}\n`);
    fs.writeFileSync(file, lines.join(''));
  };
  let child;
  const host = {
    name,
    ip,
    port: front,
    start: (isFirstStart = bootstrap) => {
      writeSettings(isFirstStart);
      const [command, ...args] = readCommand().map((word) => (word === '9464' ? String(metrics) : word));
      const log = fs.openSync(path.join(folder, `${name}.log`), 'a');
      child = spawn(command === 'node' ? process.execPath : command, args, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, LABURNUMSHIFT_BOOT: file },
        stdio: ['ignore', log, log],
      });
      host.exit = new Promise((resolve) => {
        child.once('exit', (code, signal) => resolve({ code, signal }));
      });
      fs.closeSync(log);
    },
    signal: (name_) => child.kill(name_),
    pid: () => child.pid,
    isAlive: () => child.exitCode === null && child.signalCode === null,
    /** Asks for readiness as the platform does; 0 without an answer within a second. */
    checkReady: () =>
      new Promise((resolve) => {
        const request = http.get(
          { host: ip, port: ready, path: '/readyz', agent: false, timeout: 1000 },
          (response) => {
            response.resume();
            resolve(response.statusCode);
          },
        );
        request.on('timeout', () => request.destroy());
        request.on('error', () => resolve(0));
      }),
    waitReady: async (timeoutMs = 15_000) => {
      const untilMs = Date.now() + timeoutMs;
      while (Date.now() < untilMs) {
        if ((await host.checkReady()) === 200) return;
        await pause(100);
      }
      throw new Error(`${name} is not ready`);
    },
    stop: () => {
      if (child && host.isAlive()) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    },
  };
  return host;
}
