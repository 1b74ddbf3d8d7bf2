"""Stand-in for the platform's metadata store that can inject faults."""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class StoreStandIn:
    """HTTP server with the calls of the platform's store.

    Attributes
    ----------
    page : int
        Maximum number of items on one page of a listing.
    faults : list of str
        Faults of the next calls, one per call: ``busy`` (status 503),
        ``many`` (status 429), ``reset`` (connection closed without an
        answer), ``silent`` (the same after 3 s), ``lost`` (carried out, then
        closed without an answer) or ``fine`` (none).
    calls : list of str
        Paths of all calls.
    rejected_clients : set of str
        Client IP addresses whose calls are answered with status 503.
    compacted_revision : int
        A watch from before this revision is answered with status 410.
    era : int or None
        Named in each answer; None names none.
    is_away : bool
        Whether all connections are closed without an answer.
    changed : threading.Condition
        Guards the items and is notified of each change.

    """

    def __init__(self, address='127.0.0.1', page=50):
        """Start listening, without items and at revision 1."""
        self.page = page
        self.faults = []
        self.calls = []
        self.rejected_clients = set()
        self.revision = 1
        self.compacted_revision = 0
        self.era = None
        self.is_away = False
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = threading.Condition()
        self._server = ThreadingHTTPServer((address, 0), _Handler)
        self._server.daemon_threads = True
        self._server.store = self
        self.address = self._server.server_address
        threading.Thread(
            target=self._server.serve_forever,
            args=(0.02,),
            daemon=True,
        ).start()

    def stop(self):
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, key, content, lease=0):
        """Write a key, as a call by the operator or a backend server would."""
        with self.changed:
            self.revision += 1
            previous = self.items.get(key)
            item = {
                'key': key,
                'value': base64.b64encode(content).decode(),
                'revision': self.revision,
                'created': previous['created'] if previous else self.revision,
                'lease': lease,
            }
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def remove(self, key):
        """Remove a key."""
        with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            removal = {'key': key, 'revision': self.revision, 'deleted': True}
            self.events.append(removal)
            self.changed.notify_all()

    def compact(self):
        """Discard the history of changes."""
        with self.changed:
            self.compacted_revision = self.revision
            self.events = []

    def copy_state(self):
        """Return a copy of all contents, for `restore`."""
        with self.changed:
            return (
                self.revision,
                dict(self.items),
                list(self.events),
                dict(self.leases),
            )

    def go_away(self):
        """Answer nothing until `restore`; waiting watches are cut."""
        with self.changed:
            self.is_away = True
            self.changed.notify_all()

    def restore(self, state):
        """Come back from a copy: what was written since is lost."""
        with self.changed:
            revision, items, events, leases = state
            self.revision = revision
            self.items = dict(items)
            self.events = list(events)
            self.leases = dict(leases)
            self.era = (self.era or 0) + 1
            self.is_away = False
            self.changed.notify_all()

    def list_page(self, prefix, after):
        """Return the page of items after a key."""
        with self.changed:
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > after
            )
            return {
                'items': [self.items[key] for key in keys[: self.page]],
                'has_more': len(keys) > self.page,
                'current_rev': self.revision,
            }

    def wait_events(self, prefix, after, seconds):
        """Return the changes after a revision, None if it has no such."""
        deadline = time.monotonic() + seconds
        with self.changed:
            if not self.compacted_revision <= after <= self.revision:
                return None
            while not self.is_away:
                found = [
                    event
                    for event in self.events
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                remaining = deadline - time.monotonic()
                if found or remaining <= 0:
                    return {'events': found, 'current_rev': self.revision}
                self.changed.wait(remaining)
            return None

    def open_lease(self, ttl):
        """Open a lease and return the answer's body."""
        lease = 1000 + len(self.leases)
        self.leases[lease] = ttl
        return {'lease': lease, 'ttl_ms': ttl}

    def end_lease(self, lease):
        """End a lease and remove its keys; return whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)
        return True

    def transact(self, body):
        """Apply a transaction; return the answer's status and body."""
        for condition in body['precondition']:
            previous = self.items.get(condition['key'])
            if condition['revision'] != (
                previous['revision'] if previous else 0
            ):
                return 412, {'items': [previous] if previous else []}
        for new_item in body['puts']:
            if new_item['lease'] and new_item['lease'] not in self.leases:
                return 404, {}
        for new_item in body['puts']:
            content = base64.b64decode(new_item['value'])
            self.put(new_item['key'], content, new_item['lease'])
        for key in body['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def log_message(self, *_arguments):
        """Suppress the log of requests."""

    def serve_call(self):
        """Serve one call, with the next fault if there is one."""
        store = self.server.store
        store.calls.append(self.path)
        length = int(self.headers.get('Content-Length', 0))
        body = json.loads(self.rfile.read(length) or b'null')
        fault = store.faults.pop(0) if store.faults else 'fine'
        if self.client_address[0] in store.rejected_clients:
            fault = 'busy'
        if store.is_away:
            fault = 'reset'
        if fault == 'busy':
            return self._answer(503, {})
        if fault == 'many':
            return self._answer(429, {})
        if fault == 'silent':
            time.sleep(3)
        if fault in {'reset', 'silent'}:
            self.close_connection = True
            return None
        status, content = self._run(store, body)
        if fault == 'lost' or store.is_away:
            self.close_connection = True
            return None
        return self._answer(status, content)

    do_GET = do_POST = do_DELETE = serve_call

    def _run(self, store, body):
        parts = urlsplit(self.path)
        query = {name: text[0] for name, text in parse_qs(parts.query).items()}
        call, _, rest = parts.path.removeprefix('/-/').partition('/')
        if call == 'kv-range':
            prefix = query.get('path_prefix', '')
            return 200, store.list_page(prefix, query.get('after', ''))
        if call == 'kv-watch':
            seconds = int(query['wait_ms']) / 1000
            prefix = query.get('path_prefix', '')
            found = store.wait_events(prefix, int(query['after']), seconds)
            return (410, {}) if found is None else (200, found)
        if call == 'kv-txn':
            return store.transact(body)
        if call == 'kv-lease':
            return 200, store.open_lease(body['ttl_ms'])
        if call == 'kv-keep':
            is_alive = int(rest) in store.leases
            return (200, {'ttl_ms': 1}) if is_alive else (404, {})
        if call == 'kv-lease-end':
            return (200 if store.end_lease(int(rest)) else 404), {}
        return 404, {}

    def _answer(self, status, content):
        encoded = json.dumps(content).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(encoded)))
        if self.server.store.era is not None:
            self.send_header('Store-Era', str(self.server.store.era))
        self.end_headers()
        self.wfile.write(encoded)
