import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { describe } from '@jujubecroft/testing';
import { EXPERIMENTS, FLEET_EXPERIMENTS } from '@jujubecroft/bench';
import { formatFaults, parseSettings } from '@jujubecroft/settings';

const root = path.resolve(import.meta.dirname, '../../..');
const examples = path.join(root, 'examples');

const files = readdirSync(examples, { recursive: true })
  .map(String)
  .filter(name => name.endsWith('.jsonc'));

describe('examples', ({ it }) => {
  files.forEach(name => {
    it(`passes the check: ${name}`, t => {
      const text = readFileSync(path.join(examples, name), 'utf8');
      const result = parseSettings(text);
      t.true(result.ok, result.ok ? '' : formatFaults(name, result.faults));
    });
  });
});

describe('experiments page', ({ it }) => {
  const page = readFileSync(path.join(root, 'docs/EXPERIMENTS.md'), 'utf8');
  [...EXPERIMENTS, ...FLEET_EXPERIMENTS].forEach(({ meta }) => {
    it(`describes ${meta.name}`, t => {
      t.true(page.includes(`\`${meta.name}\``));
      t.true(page.includes(meta.description));
    });
  });
});
