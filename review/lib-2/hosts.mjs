import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import { setTimeout } from 'node:timers';

const ROOT = new URL('../..', import.meta.url).pathname;

/** The command of a role of the deploy file, split at spaces. */
const readCommand = () => {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"/m.exec(text)[1].split(' ');
};

/** Loopback addresses of this run, one a machine, so that the fixed ports of the machines are free. */
const subnet = `127.${1 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
let machines = 0;
export const pickAddress = () => {
  machines += 1;
  return `${subnet}.${machines}`;
};

/** One machine of a small deployment: an address of its own on the loopback network, and the program of the deploy file. */
export class Host {
  constructor({ name, ip = pickAddress(), zone = 'north', storeAddress, folder, settings = {} }) {
    Object.assign(this, { name, ip, zone, storeAddress, folder, settings });
    this.front = `${ip}:18005`;
    this.ready = `${ip}:18002`;
    this.starts = 0;
    this.exits = [];
  }

  start(bootstrap = true) {
    const values = {
      node: this.name,
      role: 'forwarder',
      'machine-class': 'front',
      serves: 'front',
      ip: this.ip,
      zone: this.zone,
      region: 'region-1',
      'listen.front': this.front,
      'listen.ready': this.ready,
      'internal-ports': '17700,17715',
      bootstrap: String(bootstrap),
      'limits.cpu-share': '0.675',
      'limits.cores': '1',
      'limits.memory-mb': '350',
      'limits.max-fds': '4100',
      'limits.link-mbps': '1000.0',
      'heartbeat-ms': '1200',
      'platform.address': this.storeAddress,
      'platform.form': 'objects',
      'bounds.contact-ms': '3000',
      'bounds.ack-ms': '4000',
      'bounds.drain-ms': '2000',
      'bounds.grace-s': '8',
      'bounds.config-apply-ms': '2000',
      'bounds.fail-closed': 'true',
      'bounds.revoke-ms': '5000',
      'bounds.budget-ratio': '0.2',
      'bounds.budget-window-s': '10',
      'bounds.budget-slack': '52',
      'bounds.enforce-fencing': 'false',
      'bounds.lease-ms': '3000',
      'bounds.version-ms': '8000',
      ...this.settings,
    };
    const file = path.join(this.folder, `${this.name}.conf`);
    writeFileSync(
      file,
      Object.entries(values)
        .map(([key, value]) => `${key}=${value}\n`)
        .join(''),
    );
    const [program, ...args] = readCommand();
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, ...(LANG && { LANG }), LABURNUMSHIFT_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.starts += 1;
    const log = createWriteStream(path.join(this.folder, `${this.name}.log`), { flags: 'a' });
    this.child.stdout.pipe(log, { end: false });
    this.child.stderr.pipe(log, { end: false });
    const { child } = this;
    child.once('exit', (code, signal) => this.exits.push({ code, signal, atMs: Date.now() }));
  }

  isAlive() {
    return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
  }

  signal(signal) {
    if (this.isAlive()) this.child.kill(signal);
  }

  async waitForExit(ms) {
    const untilMs = Date.now() + ms;
    while (this.isAlive() && Date.now() < untilMs) await new Promise((resolve) => setTimeout(resolve, 20));
    return !this.isAlive();
  }

  async isReady() {
    const [host, port] = this.ready.split(':');
    return new Promise((resolve) => {
      const request = http.get({ host, port, path: '/readyz', agent: false, timeout: 500 }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }

  async waitReady(ms = 15_000) {
    const untilMs = Date.now() + ms;
    while (!(await this.isReady())) {
      if (Date.now() > untilMs) throw new Error(`${this.name} is not ready`);
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
  }
}
