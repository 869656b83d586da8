import { describe } from '@jujubecroft/testing';

import { parseSettings } from '../src/index.js';

const SERVICE = `{
  // a plain service
  "kind": "service",
  "id": "stock",
  "listen": { "port": 0 },
  "services": ["stock"],
}`;

const deployment = (servers: string, models = '[]'): string => `{
  "kind": "deployment",
  "organisations": [],
  "requestClasses": [],
  "modelVersions": ${models},
  "backendServers": ${servers}
}`;

const FAULTS = [
  {
    name: 'broken JSON',
    text: '{\n"kind": ',
    path: '',
    line: 2,
    expected: /JSON with comments/,
  },
  {
    name: 'an empty file',
    text: '',
    path: '',
    line: 1,
    expected: /JSON/,
  },
  {
    name: 'an unknown key',
    text: SERVICE.replace('"id": "stock",', '"id": "stock",\n  "colour": 1,'),
    path: 'colour',
    line: 5,
    expected: /no such key/,
  },
  {
    name: 'a wrong type',
    text: SERVICE.replace('"port": 0', '"port": "0"'),
    path: 'listen.port',
    line: 5,
    expected: /number/,
  },
  {
    name: 'a port out of range',
    text: SERVICE.replace('"port": 0', '"port": 70000'),
    path: 'listen.port',
    line: 5,
    expected: /65535/,
  },
  {
    name: 'a missing key',
    text: SERVICE.replace('"id": "stock",\n', ''),
    path: 'id',
    line: 1,
    expected: /string/,
  },
  {
    name: 'an undeclared model',
    text: deployment(
      '[{"id":"e","url":"http://127.0.0.1:1","failureDomain":"a","models":["m"],"capacity":1}]',
    ),
    path: 'backendServers.0.models.0',
    line: 6,
    expected: /declared model instead of m/,
  },
  {
    name: 'a duplicate id',
    text: deployment(
      '[]',
      '[{"id":"m","version":"1"},\n{"id":"m","version":"2"}]',
    ),
    path: 'modelVersions.1.id',
    line: 6,
    expected: /other than m/,
  },
] as const;

describe('parseSettings', ({ it }) => {
  it('accepts comments and trailing commas, and applies defaults', t => {
    const result = parseSettings(SERVICE);
    t.true(result.ok);
    t.is(
      result.ok && result.settings.kind === 'service'
        ? result.settings.concurrency
        : 0,
      16,
    );
  });

  FAULTS.forEach(({ name, text, path, line, expected }) => {
    it(`reports the path and line of ${name}`, t => {
      const result = parseSettings(text);
      const [fault] = result.ok ? [] : result.faults;
      t.is(fault?.path, path);
      t.is(fault?.line, line);
      t.regex(fault?.expected ?? '', expected);
    });
  });

  it('lists all faults, not only the first', t => {
    const text = SERVICE.replace('"port": 0', '"port": -1').replace(
      '"services": ["stock"]',
      '"services": []',
    );
    const result = parseSettings(text);
    t.is(result.ok ? 0 : result.faults.length, 2);
  });
});
