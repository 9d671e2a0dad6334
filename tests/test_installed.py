"""The wheel, installed outside the source tree: it is complete, and both programs start from it."""

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

# The packages that need an extra. The base installation has to import all others, including new ones.
PACKAGES_OF_EXTRAS = {"tools": ("loftweir.cli",), "emulator": ("loftweir.emulator", "loftweir.cli.emulate")}
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


def is_in(name, packages):
    """Whether a module is one of the packages or in one of them."""
    return any(f"{name}.".startswith(f"{package}.") for package in packages)


class InstalledTest(SidecarTest):
    def run_there(self, *command, text=""):
        """Runs a command outside the tree, with no environment variable that refers to the tree."""
        env = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
        result = subprocess.run(command, cwd=self.folder, env=env, input=text, capture_output=True, text=True)
        self.assertEqual(result.returncode, 0, result.stderr)
        return result.stdout

    def build(self):
        """Builds the wheel from a copy of the tree, as building leaves files behind, and creates an environment."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, copy = Path(folder.name), Path(folder.name, "copy")
        ignored = shutil.ignore_patterns(".*", "__pycache__", "*.egg-info", "build", "journal", "found")
        shutil.copytree(ROOT, copy, ignore=ignored)
        self.run_there(sys.executable, "-m", "pip", "wheel", "-q", "--no-deps", "-w", ".", str(copy))
        (self.wheel,) = self.folder.glob("*.whl")
        self.run_there(sys.executable, "-m", "venv", "--without-pip", "env")
        self.python = [str(self.folder / "env/bin/python"), "-I"]  # `-I`: without this folder and environment variables
        shutil.rmtree(copy)

    def install(self, *packages):
        """Installs packages into the environment, with the pinned versions."""
        pip = (sys.executable, "-m", "pip", "--python", self.python[0], "install", "-q", "--no-compile")
        self.run_there(*pip, "-c", str(ROOT / "requirements-dev.txt"), *packages)

    def not_imported(self):
        """The modules of the tree that the installed package can't import, and why."""
        names = ["loftweir", *(m.name for m in pkgutil.walk_packages([str(ROOT / "loftweir")], "loftweir."))]
        self.assertIn("loftweir.state.disk", names)
        file, failed = json.loads(self.run_there(*self.python, "-c", IMPORT, text=" ".join(names)))
        self.assertTrue(Path(file).is_relative_to(self.folder / "env"), file)
        return failed

    def check_serves(self, *command):
        """Starts a sidecar with this command, sends a request, and stops it."""
        self.command = [*self.python, *command]
        self.start(ok)
        self.assertEqual(self.invoke()[:2], (200, b"served "))
        self.assertEqual(len(self.providers[0].seen), 1)
        self.terminate()
        self.assertEqual(self.program.wait(10), 0, self.log())
        self.assertTrue(eventually(lambda: self.logged("stop.done")), self.log())

    def test_the_base_installation_serves_and_each_extra_adds_its_modules(self):
        self.build()
        with zipfile.ZipFile(self.wheel) as wheel:
            packed = {name for name in wheel.namelist() if ".dist-info/" not in name}
        files = (f for f in (ROOT / "loftweir").rglob("*") if f.is_file() and "__pycache__" not in f.parts)
        self.assertEqual(packed, {str(f.relative_to(ROOT)) for f in files}, "with the data files, and nothing else")

        self.install("-r", str(ROOT / "requirements.txt"), str(self.wheel))
        missing = PACKAGES_OF_EXTRAS.copy()
        for extra in ("", *PACKAGES_OF_EXTRAS):
            if extra:
                self.install(f"{self.wheel}[{extra}]")
                del missing[extra]
            failed = self.not_imported()
            for packages in missing.values():
                for package in packages:
                    self.assertTrue([name for name in failed if is_in(name, [package])], f"{package} needs no extra")
            expected = [package for packages in missing.values() for package in packages]
            self.assertEqual({n: why for n, why in failed.items() if not is_in(n, expected)}, {}, f"with [{extra}]")
            if not extra:
                self.check_serves("-m", "loftweir")
                turn = self.run_there(*self.python, "-m", "loftweir.adapter", text="TURN\t1\nGO\n")
                self.assertEqual(turn, "READY\n")
            if extra == "tools":
                self.check_serves(str(self.folder / "env/bin/loftweir"), "run")
