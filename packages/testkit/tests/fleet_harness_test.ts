/** Tests of the fleet harness with minimal fake daemons. */
import path from 'node:path';
import {PoolKind, ProxyAction} from '@savoryspur/schema';
import {expect} from 'chai';
import {
  createKeyEntry,
  type DaemonProcess,
  type EnvironmentDocument,
  FleetHarness,
  formatServerLinkName,
  OPERATOR_TOKEN,
  StandIns,
} from '../src/index.js';

const ZONES = [
  {name: 'a', region: 'r', hosts: 2},
  {name: 'b', region: 'r', hosts: 1},
];

describe('fleet harness', () => {
  let standIns: StandIns;
  let fleet: FleetHarness;

  const start = async (hasProxies: boolean) => {
    standIns = await StandIns.start({services: [{name: 'ledger'}]});
    const document: EnvironmentDocument = {
      name: 'test',
      zones: ZONES.map(({name, region}) => ({name, region})),
      pools: [{name: 'ledger', kind: PoolKind.SERVICE}],
      servers: [
        {
          id: 'l-1',
          pool: 'ledger',
          zone: 'a',
          url: standIns.services[0]!.url,
        },
      ],
      workspaces: [{name: 'w', rate: 5, burst: 5}],
      keys: [createKeyEntry('k', 'w', 'secret')],
    };
    fleet = await FleetHarness.start({
      standIns,
      zones: ZONES,
      environment: document,
      settings: {leases: {heartbeatMs: 100}},
      hasProxies,
      daemonScript: path.resolve(import.meta.dirname, 'fake_daemon.js'),
    });
  };

  afterEach(async () => {
    await fleet.stop();
    await standIns.stop();
  });

  const probe = async (daemon: DaemonProcess) =>
    (await (await fetch(`${daemon.callerUrl}/links`)).json()) as unknown;

  const allReachable = {platform: true, 'a-1': true, 'a-2': true, 'b-1': true};

  it('starts daemons that reach the platform and each other', async () => {
    await start(false);
    const hosts = fleet.daemons.map((daemon) => daemon.host);
    expect(hosts).to.deep.equal(['a-1', 'a-2', 'b-1']);
    for (const daemon of fleet.daemons) {
      expect(await probe(daemon)).to.deep.equal(allReachable);
    }
    const url = `${fleet.listCallerUrls()[0]}/operator/v1/environments/production`;
    const headers = {authorization: `Bearer ${OPERATOR_TOKEN}`};
    const {toml} = (await (await fetch(url, {headers})).json()) as {
      toml: string;
    };
    expect(toml).to.include('[[workspaces]]').and.include('rate = 5');
    expect(toml).to.include(standIns.services[0]!.url);
  });

  it('kills and restarts daemons, removes hosts from the host list', async () => {
    await start(false);
    const [first, second] = fleet.daemons;
    await first!.kill();
    expect(await probe(second!)).to.deep.equal({...allReachable, 'a-1': false});
    await first!.start();
    await first!.waitReady();
    expect(await probe(second!)).to.deep.equal(allReachable);
    await fleet.removeHost('b-1');
    expect(await probe(second!)).not.to.have.property('b-1');
    await fleet.addHost('b-1');
    expect(await probe(second!)).to.deep.equal(allReachable);
  });

  it('cuts the links of a zone to the others and to the platform', async () => {
    await start(true);
    const links = fleet.links!;
    const [inside] = fleet.listDaemons('a');
    const [outside] = fleet.listDaemons('b');
    expect(await probe(inside!)).to.deep.equal(allReachable);
    await links.applyFaultBetweenZones('a', ProxyAction.CUT);
    expect(await probe(inside!)).to.deep.equal({...allReachable, 'b-1': false});
    const cut = {...allReachable, 'a-1': false, 'a-2': false};
    expect(await probe(outside!)).to.deep.equal(cut);
    await links.applyFaultToPlatformLink('a', ProxyAction.CUT);
    expect(await probe(inside!)).to.deep.equal({platform: false});
    await links.applyFaultToPlatformLink('a', ProxyAction.HEAL);
    await links.applyFaultBetweenZones('a', ProxyAction.HEAL);
    expect(await probe(inside!)).to.deep.equal(allReachable);
    const servers = await links.getServerProxy().getStats();
    expect(servers.links).to.have.property(formatServerLinkName('l-1'));
  });
});
