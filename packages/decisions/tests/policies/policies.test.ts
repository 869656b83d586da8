import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { describe } from '@jujubecroft/testing';

import { POLICY_CATALOGUE } from '../../src/index.js';

const pages = path.resolve(import.meta.dirname, '../../../../docs/policies');

describe('policy catalogue', ({ it }) => {
  POLICY_CATALOGUE.forEach(({ name, description, defaults }) => {
    it(`has a page with the description and the defaults of ${name}`, t => {
      const file = path.join(pages, `${name}.md`);
      t.true(existsSync(file), file);
      const page = readFileSync(file, 'utf8').replaceAll(/ +/g, ' ');
      t.true(page.includes(description));
      Object.entries(defaults).forEach(([option, value]) => {
        t.true(page.includes(`| \`${option}\` | ${String(value)} |`), option);
      });
    });
  });
});
