import { execFileSync } from 'node:child_process';

/** Reads the commit of the checkout and whether it has changes. */
export function readCommit(): string {
  try {
    const head = execFileSync('git', ['rev-parse', '--short', 'HEAD'], { encoding: 'utf8' }).trim();
    const changes = execFileSync('git', ['status', '--porcelain', '--', 'packages'], { encoding: 'utf8' });
    return changes === '' ? head : `${head}, with uncommitted changes`;
  } catch {
    return 'unknown';
  }
}
