"""The wheel, installed outside the tree: all that the tree has is in it, and both programs start from it."""

import json
import os
import pkgutil
import shutil
import subprocess
import sys
import tempfile
import zipfile
from pathlib import Path

from scene import ROOT, SidecarTest, eventually, ok

# What the base install need not import, by the extra that it needs. All else of the package, also what is new, it must.
NEEDS = {"tools": ("loftweir.cli",), "emulator": ("loftweir.emulator", "loftweir.cli.emulate")}
IMPORT = """
import importlib, json, sys
import loftweir
failed = {}
for name in sys.stdin.read().split():
    try:
        importlib.import_module(name)
    except ImportError as error:
        failed[name] = str(error)
print(json.dumps([loftweir.__file__, failed]))
"""


def under(name, packages):
    return any(f"{name}.".startswith(f"{package}.") for package in packages)


class InstalledTest(SidecarTest):
    def run_there(self, *command, text=""):
        """A command outside the tree, which no variable of the environment names to it."""
        env = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
        done = subprocess.run(command, cwd=self.folder, env=env, input=text, capture_output=True, text=True)
        self.assertEqual(done.returncode, 0, done.stderr)
        return done.stdout

    def build(self):
        """From a copy, since building leaves its litter in the tree that it is made from."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, copy = Path(folder.name), Path(folder.name, "copy")
        litter = shutil.ignore_patterns(".*", "__pycache__", "*.egg-info", "build", "journal", "found")
        shutil.copytree(ROOT, copy, ignore=litter)
        self.run_there(sys.executable, "-m", "pip", "wheel", "-q", "--no-deps", "-w", ".", str(copy))
        (self.wheel,) = self.folder.glob("*.whl")
        self.run_there(sys.executable, "-m", "venv", "--without-pip", "env")
        self.python = [str(self.folder / "env/bin/python"), "-I"]  # `-I`: neither this folder nor variables count
        shutil.rmtree(copy)

    def install(self, *what):
        pip = (sys.executable, "-m", "pip", "--python", self.python[0], "install", "-q", "--no-compile")
        self.run_there(*pip, "-c", str(ROOT / "requirements-dev.txt"), *what)

    def not_imported(self):
        """Modules of the tree that the installed copy can't import, and why."""
        names = ["loftweir", *(m.name for m in pkgutil.walk_packages([str(ROOT / "loftweir")], "loftweir."))]
        self.assertIn("loftweir.state.disk", names)
        file, failed = json.loads(self.run_there(*self.python, "-c", IMPORT, text=" ".join(names)))
        self.assertTrue(Path(file).is_relative_to(self.folder / "env"), file)
        return failed

    def serves(self, *command):
        self.command = [*self.python, *command]
        self.start(ok)
        self.assertEqual(self.invoke()[:2], (200, b"served "))
        self.assertEqual(len(self.providers[0].seen), 1)
        self.terminate()
        self.assertEqual(self.program.wait(10), 0, self.log())
        self.assertTrue(eventually(lambda: self.logged("stop.done")), self.log())

    def test_the_base_install_serves_and_each_extra_brings_the_modules_that_need_it(self):
        self.build()
        with zipfile.ZipFile(self.wheel) as wheel:
            packed = {name for name in wheel.namelist() if ".dist-info/" not in name}
        files = (f for f in (ROOT / "loftweir").rglob("*") if f.is_file() and "__pycache__" not in f.parts)
        self.assertEqual(packed, {str(f.relative_to(ROOT)) for f in files}, "data files too, and nothing else")

        self.install("-r", str(ROOT / "requirements.txt"), str(self.wheel))
        lacking = NEEDS.copy()
        for extra in ("", *NEEDS):
            if extra:
                self.install(f"{self.wheel}[{extra}]")
                del lacking[extra]
            failed = self.not_imported()
            for packages in lacking.values():
                for package in packages:
                    self.assertTrue([name for name in failed if under(name, [package])], f"{package} needs no extra")
            known = [package for packages in lacking.values() for package in packages]
            self.assertEqual({n: why for n, why in failed.items() if not under(n, known)}, {}, f"with [{extra}]")
            if not extra:
                self.serves("-m", "loftweir")
                turn = self.run_there(*self.python, "-m", "loftweir.adapter", text="TURN\t1\nGO\n")
                self.assertEqual(turn, "READY\n")
            if extra == "tools":
                self.serves(str(self.folder / "env/bin/loftweir"), "run")
