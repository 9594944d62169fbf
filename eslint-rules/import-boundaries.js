import fs from 'node:fs';
import path from 'node:path';

const SCOPE = '@laburnumshift/';
/** Packages that may start whole nodes. */
const NODE_USERS = /^(?:run-node|cli|demo|measure(?:-[a-z]+)*|check-histories)$/;
/** Holds the HTTP connection pool that the peer packages share. */
const SHARED_PEER = 'call-store';
/** The older system answers the same plain calls as a plain service, so its client sends them in the same way. */
const PEER_EXCEPTIONS = new Set(['call-older-system > call-service']);

const readManifest = (file) => JSON.parse(fs.readFileSync(file, 'utf8'));

/** Finds the package of a file: its name without the scope, its directory, and whether the file is a test. */
const findPackage = (filename) => {
  const found = /^(.*[\\/]packages)[\\/]([a-z-]+)[\\/](src|test)[\\/]/.exec(filename);
  if (found === null) return undefined;
  const [, parent = '', name = '', part] = found;
  return { name, directory: path.join(parent, name), root: path.dirname(parent), isTest: part === 'test' };
};

const listDeclared = ({ directory, root, isTest }) => {
  const {
    name,
    dependencies = {},
    devDependencies = {},
  } = readManifest(path.join(directory, 'package.json'));
  const names = [name, ...Object.keys(dependencies)];
  if (!isTest) return new Set(names);
  const shared = readManifest(path.join(root, 'package.json')).devDependencies ?? {};
  return new Set([...names, ...Object.keys(devDependencies), ...Object.keys(shared)]);
};

const isPeer = (name) => name.startsWith('call-');

/**
 * Reports imports of a package that the own package.json does not declare, of one peer package by another, and of `run-node`
 * by packages that do not start whole nodes. Tests may import any declared package.
 */
export const importBoundaries = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {
      undeclared: "'{{name}}' is not declared in the package.json of this package.",
      peer: "A peer package must not import another one, '{{name}}'.",
      node: "Only run-node, cli, demo, measure* and check-histories may import '{{name}}'.",
    },
  },
  create(context) {
    const own = findPackage(context.filename);
    if (own === undefined) return {};
    const declared = listDeclared(own);
    const checkSource = ({ source }) => {
      const name = /^(?:@[^/]+\/)?[^./][^/]*/.exec(source?.value ?? '')?.[0];
      if (name === undefined || name.startsWith('node:') || name === SCOPE + own.name) return;
      const report = (messageId) => context.report({ node: source, messageId, data: { name } });
      if (!declared.has(name)) report('undeclared');
      if (own.isTest || !name.startsWith(SCOPE)) return;
      const target = name.slice(SCOPE.length);
      const isPermitted = target === SHARED_PEER || PEER_EXCEPTIONS.has(`${own.name} > ${target}`);
      if (isPeer(own.name) && isPeer(target) && !isPermitted) report('peer');
      if (target === 'run-node' && !NODE_USERS.test(own.name)) report('node');
    };
    return {
      ImportDeclaration: checkSource,
      ImportExpression: checkSource,
      ExportNamedDeclaration: checkSource,
      ExportAllDeclaration: checkSource,
    };
  },
};
