// Frame of a case: store, fleet, record and exit code.
import { join } from 'node:path';

import { config } from './Config.mjs';
import { Fleet, freePorts, sleep } from './Fleet.mjs';
import { Record } from './Record.mjs';
import { Replica } from './Replica.mjs';
import { Store } from './Store.mjs';

const CAP_MS = 110_000;

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if
 * the case could not run.
 */
export async function runCase({
  folder,
  net,
  machines,
  replicas,
  routes,
  services,
  play,
}) {
  const trouble = process.env.TROUBLE !== '0';
  const record = new Record(join(folder, 'record.txt'));
  const address = (part, index) => `127.${net}.${part}.${index + 1}`;
  const hosts = Array.from({ length: machines }, (_, i) => address(0, i));
  const storeHost = address(9, 0);
  const replicaHosts = replicas.map((_, i) => address(5, i));
  let fleet = null;
  let code = 2;
  const cap = setTimeout(() => {
    void finish('could not run: took too long');
  }, CAP_MS);
  const finish = async verdict => {
    clearTimeout(cap);
    record.write(verdict);
    console.log(verdict);
    await fleet?.stop();
    process.exit(code);
  };
  try {
    const all = [...hosts, ...replicaHosts, storeHost];
    const [port, ...ports] = await freePorts(all, 9);
    const store = new Store();
    await store.listen(storeHost, port);
    store.put('op', 'config', config({ routes, services }));
    const started = replicas.map(
      (fields, i) =>
        new Replica({ store, record, host: replicaHosts[i], port, ...fields }),
    );
    await Promise.all(started.map(replica => replica.start()));
    fleet = new Fleet({
      hosts,
      ports,
      storeAddress: `${storeHost}:${port}`,
      zones: ['hall-a', 'hall-b', 'hall-c'],
    });
    record.note(`trouble ${trouble ? 'on' : 'off'}`);
    if (!(await fleet.startAll())) {
      await finish('could not run: the gateways are not ready');
      return;
    }
    await sleep(1500);
    const broken = await play({
      trouble,
      record,
      fleet,
      store,
      replicas: started,
    });
    code = broken.length > 0 ? 1 : 0;
    broken.slice(0, 20).forEach(text => record.note(`broken: ${text}`));
    await finish(
      broken.length > 0 ? `rule broken ${broken.length} times` : 'rule held',
    );
  } catch (err) {
    code = 2;
    await finish(`could not run: ${err.stack}`);
  }
}
