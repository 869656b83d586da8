import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { describe } from '@jujubecroft/testing';
import { EXPERIMENTS, FLEET_EXPERIMENTS } from '@jujubecroft/bench';
import { formatFaults, parseSettings } from '@jujubecroft/settings';

const REPOSITORY_PATH = path.resolve(import.meta.dirname, '../../..');
const EXAMPLES_PATH = path.join(REPOSITORY_PATH, 'examples');

const files = readdirSync(EXAMPLES_PATH, { recursive: true })
  .map(String)
  .filter(name => name.endsWith('.jsonc'));

describe('example settings', ({ it }) => {
  files.forEach(name => {
    it(`examples/${name} has no fault`, t => {
      const text = readFileSync(path.join(EXAMPLES_PATH, name), 'utf8');
      const result = parseSettings(text);
      t.true(result.ok, result.ok ? '' : formatFaults(name, result.faults));
    });
  });
});

describe('docs/EXPERIMENTS.md', ({ it }) => {
  const page = readFileSync(
    path.join(REPOSITORY_PATH, 'docs/EXPERIMENTS.md'),
    'utf8',
  );
  [...EXPERIMENTS, ...FLEET_EXPERIMENTS].forEach(({ meta }) => {
    it(`contains name and description of ${meta.name}`, t => {
      t.true(page.includes(`\`${meta.name}\``));
      t.true(page.includes(meta.description));
    });
  });
});
